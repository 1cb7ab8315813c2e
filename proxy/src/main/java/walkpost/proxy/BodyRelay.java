package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A body that is passed on as it comes, from the connection that it is read from to the one that it is written to. It
 * owns what has come and not gone yet, and has the one side wait for the other.
 */
final class BodyRelay {
    /** Where a body comes from. */
    interface Source {
        /** The other side has enough for now, or wants more. */
        void reading(boolean on);

        /** Nobody wants the rest. */
        void unwanted();
    }

    /** Where a body goes. It is told of exactly one end, unless it goes first. */
    interface Sink {
        /** The connection that it is written to. */
        Channel channel();

        /** Returns whether it can take more; when it can again, it calls {@link BodyRelay#flow}. */
        default boolean ready() {
            return channel().isWritable();
        }

        /** Takes bytes, which are now its to release. */
        default void data(ByteBuf data) {
            channel().write(new DefaultHttpContent(data));
        }

        default void flush() {
            channel().flush();
        }

        /** The body is whole. */
        void end(HttpHeaders trailers);

        /** The rest of the body will never come. */
        void broken();
    }

    /** With so much waiting, the source is not read from. */
    private static final int ENOUGH = 32 * 1024;

    private final ByteBuf start;
    private final Source source;
    private final Buffers buffers;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private int bytes;
    private Sink sink;
    private HttpHeaders trailers = EmptyHttpHeaders.INSTANCE;
    private boolean reading = true;
    private boolean startGone;
    private boolean taken;
    private boolean whole;
    private boolean over;
    private boolean flowing;

    /**
     * Makes one.
     *
     * @param start what has come so far, which is now the relay's and is counted already. It can be sent to one sink
     *              after another, as long as nothing beyond it has gone to any
     */
    BodyRelay(ByteBuf start, Source source, Buffers buffers) {
        this.start = start;
        this.source = source;
        this.buffers = buffers;
    }

    // The source's side

    /** Takes the next bytes, which are now the relay's to release. */
    void add(ByteBuf data) {
        if (over) {
            data.release();
            return;
        }
        waiting.add(data);
        bytes += data.readableBytes();
        buffers.hold(data.readableBytes());
        flow();
    }

    /** All has come; the source hears nothing more. */
    void end(HttpHeaders last) {
        if (!over) {
            trailers = last;
            read(true);
            whole = true;
            flow();
        }
    }

    /** The rest will never come. */
    void breakOff() {
        if (!over) {
            Sink told = sink;
            finish();
            if (told != null) {
                told.broken();
            }
        }
    }

    // The sink's side

    /** Returns whether a sink would be given all of the body. */
    boolean fresh() {
        return sink == null && !taken && !over;
    }

    /** Begins, or begins anew, to pass on what has come. */
    void to(Sink next) {
        sink = next;
        startGone = false;
        flow();
    }

    /** The sink has gone; another may come if nothing beyond the start is lost with it. */
    void detach() {
        sink = null;
        if (taken) {
            cancel();
        }
    }

    /** Nobody wants the rest. */
    void cancel() {
        if (!over) {
            boolean more = !whole;
            finish();
            if (more) {
                source.unwanted();
            }
        }
    }

    /** Passes on what the sink can take. */
    void flow() {
        if (over || flowing) {
            return;
        }
        if (sink != null) {
            flowing = true;
            pass();
            flowing = false;
        }
        if (!over && sink != null && whole && startGone && waiting.isEmpty()) {
            Sink told = sink;
            finish();
            told.end(trailers);
        } else if (!over) {
            int most = buffers.full() ? 0 : ENOUGH;
            read(bytes <= (reading ? most : most / 2));
        }
    }

    /** A flush may make room at once, and says so while this still runs: so it is looked for afterwards. */
    private void pass() {
        while (more()) {
            while (more()) {
                sink.data(next());
            }
            if (sink != null && !over) {
                sink.flush();
            }
        }
    }

    private boolean more() {
        return sink != null && !over && (!startGone || !waiting.isEmpty()) && sink.ready();
    }

    private ByteBuf next() {
        if (!startGone) {
            startGone = true;
            return start.retainedSlice();
        }
        if (!taken) {
            taken = true;
            releaseStart();
        }
        ByteBuf data = waiting.remove();
        bytes -= data.readableBytes();
        buffers.letGo(data.readableBytes());
        return data;
    }

    private void read(boolean on) {
        if (on != reading && !whole) {
            reading = on;
            source.reading(on);
        }
    }

    private void releaseStart() {
        buffers.letGo(start.readableBytes());
        start.release();
    }

    private void finish() {
        over = true;
        sink = null;
        read(true);
        if (!taken) {
            releaseStart();
        }
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        buffers.letGo(bytes);
        bytes = 0;
    }
}
