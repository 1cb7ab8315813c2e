package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Relays a body, as it arrives, from the connection that it is read from to the connection that it is written to. Owns the bytes that have
 * arrived and are not written yet, and pauses reading while the sink cannot keep up (back-pressure). Used on the event loop only.
 */
final class BodyRelay {
    /** The side that a body is read from. */
    interface Source {
        /** Pauses reading, because the sink has enough for now, or resumes it. */
        void setReading(boolean on);

        /** Notes that the rest of the body is not needed, because the relay was cancelled. */
        void relayCancelled();
    }

    /**
     * The side that a body is written to. Exactly one of {@link #bodyCompleted} and {@link #bodyAborted} is called, unless the sink is
     * detached or the relay is cancelled first.
     */
    interface Sink {
        /** Returns the connection that the body is written to. */
        Channel channel();

        /** Returns whether more can be written; when that becomes possible again, the sink calls {@link BodyRelay#transfer}. */
        default boolean isWritable() {
            return channel().isWritable();
        }

        /** Writes bytes and takes over their release. */
        default void writeData(ByteBuf data) {
            channel().write(new DefaultHttpContent(data));
        }

        default void flush() {
            channel().flush();
        }

        /** Notes that the body is complete. */
        void bodyCompleted(HttpHeaders trailers);

        /** Notes that the rest of the body will never arrive. */
        void bodyAborted();
    }

    /** Reading is paused while more bytes than this wait to be written, and resumes at half of it. */
    private static final int HIGH_WATER_MARK_BYTES = 32 * 1024;
    /**
     * The same while the body waits for its first sink and memory is not scarce: the client's close is behind what is unread, and a client
     * that has gone must be known before its request is sent.
     */
    private static final int WAITING_HIGH_WATER_MARK_BYTES = 256 * 1024;
    /** What each piece takes besides its bytes, which counts where a peer sends a body in very small pieces. */
    private static final int PIECE_BYTES = 256;

    private final ByteBuf start;
    private final Source source;
    private final MemoryBudget memoryBudget;
    private final Deque<ByteBuf> pending = new ArrayDeque<>();
    private int waitingLimitBytes = WAITING_HIGH_WATER_MARK_BYTES;
    private int pendingBytes;
    private Sink sink;
    private HttpHeaders trailers = EmptyHttpHeaders.INSTANCE;
    private boolean reading = true;
    /** Whether the start was written to the current sink. */
    private boolean startWritten;
    /** Whether bytes after the start were written, so that the body cannot be relayed to another sink. */
    private boolean consumed;
    /** Whether the source has delivered the whole body. */
    private boolean sourceComplete;
    private boolean finished;
    /** Whether {@link #transfer} is running, which a sink may call again from within a flush. */
    private boolean transferring;

    /**
     * Creates a relay without a sink.
     *
     * @param start the bytes that have arrived so far; they are already counted in {@code memoryBudget}, and the relay releases them. They
     *              can be written to one sink after another, until bytes that follow them have been written to one
     */
    BodyRelay(ByteBuf start, Source source, MemoryBudget memoryBudget) {
        this.start = start;
        this.source = source;
        this.memoryBudget = memoryBudget;
    }

    // Called by the source

    /** Takes the next bytes of the body and their release. */
    void add(ByteBuf data) {
        if (finished) {
            data.release();
            return;
        }
        pending.add(data);
        pendingBytes += cost(data);
        memoryBudget.reserve(cost(data));
        transfer();
    }

    /** Notes that the body has arrived completely; the source gets no further calls. */
    void complete(HttpHeaders lastTrailers) {
        if (!finished) {
            trailers = lastTrailers;
            setReading(true);
            sourceComplete = true;
            transfer();
        }
    }

    /** Ends the relay, because the rest of the body will never arrive. */
    void abort() {
        if (!finished) {
            Sink lastSink = sink;
            finish();
            if (lastSink != null) {
                lastSink.bodyAborted();
            }
        }
    }

    // Called by the sink

    /** Returns whether a new sink would receive the whole body. */
    boolean isReplayable() {
        return sink == null && !consumed && !finished;
    }

    /** Relays the body to a sink, from its first byte. */
    void relayTo(Sink next) {
        sink = next;
        startWritten = false;
        transfer();
    }

    /** Detaches the sink; cancels the relay if bytes after the start were written, because no other sink can get the whole body. */
    void detachSink() {
        sink = null;
        if (consumed) {
            cancel();
        }
    }

    /** Ends the relay, because the rest of the body is not needed. */
    void cancel() {
        if (!finished) {
            boolean sourceHasMore = !sourceComplete;
            finish();
            if (sourceHasMore) {
                source.relayCancelled();
            }
        }
    }

    /** Writes as much as the sink can take, and pauses or resumes reading. */
    void transfer() {
        if (finished || transferring) {
            return;
        }
        if (sink != null) {
            transferring = true;
            writePending();
            transferring = false;
        }
        if (!finished && sink != null && sourceComplete && startWritten && pending.isEmpty()) {
            Sink lastSink = sink;
            finish();
            lastSink.bodyCompleted(trailers);
        } else if (!finished) {
            int limitBytes = highWaterMarkBytes();
            setReading(pendingBytes <= (reading ? limitBytes : limitBytes / 2));
        }
    }

    private int highWaterMarkBytes() {
        if (memoryBudget.isExhausted()) {
            return 0;
        }
        return isWaiting() && !memoryBudget.isScarce() ? waitingLimitBytes : HIGH_WATER_MARK_BYTES;
    }

    private boolean isWaiting() {
        return sink == null && !consumed && !finished;
    }

    /** Lets more of a body be read that waits for its first sink, because the client's close may be behind it. */
    void readAhead() {
        if (isWaiting() && !memoryBudget.isExhausted()) {
            waitingLimitBytes = pendingBytes + WAITING_HIGH_WATER_MARK_BYTES;
            setReading(true);
        }
    }

    /**
     * Writes until the sink is full. Flushes may make room at once, so the sink is asked again after each; a call of {@link #transfer} by
     * the sink is ignored meanwhile.
     */
    private void writePending() {
        while (canWrite()) {
            while (canWrite()) {
                sink.writeData(nextPiece());
            }
            if (sink != null && !finished) {
                sink.flush();
            }
        }
    }

    private boolean canWrite() {
        return sink != null && !finished && (!startWritten || !pending.isEmpty()) && sink.isWritable();
    }

    private ByteBuf nextPiece() {
        if (!startWritten) {
            startWritten = true;
            return start.retainedSlice();
        }
        if (!consumed) {
            consumed = true;
            releaseStart();
        }
        ByteBuf data = pending.remove();
        pendingBytes -= cost(data);
        memoryBudget.release(cost(data));
        return data;
    }

    private static int cost(ByteBuf piece) {
        return piece.readableBytes() + PIECE_BYTES;
    }

    /** Returns the memory that is held for what has not been written yet. */
    int heldBytes() {
        return pendingBytes + (consumed || finished ? 0 : start.capacity());
    }

    private void setReading(boolean on) {
        if (on != reading && !sourceComplete) {
            reading = on;
            source.setReading(on);
        }
    }

    private void releaseStart() {
        memoryBudget.release(start.capacity());
        start.release();
    }

    private void finish() {
        finished = true;
        sink = null;
        setReading(true);
        if (!consumed) {
            releaseStart();
        }
        pending.forEach(ByteBuf::release);
        pending.clear();
        memoryBudget.release(pendingBytes);
        pendingBytes = 0;
    }
}
