package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection that survives transient failures of reads and writes by repeating the call. If the stream ends right after a failed
 * read, the connection ends with that failure and not in an orderly way, because a truncated answer of unknown length would be taken for
 * a complete one. Used on its event loop only.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    /** What a read of a JDK channel returns at the end of the stream. Smaller values stand for an interrupted call. */
    private static final int END_OF_STREAM = -1;
    private static final long WRITE_RETRY_DELAY_MS = 1;

    private final SystemCallFailureCounter failures;
    private final TransientFailure readFailure = new TransientFailure();
    private final TransientFailure writeFailure = new TransientFailure();

    /** Creates a channel that is not connected yet. */
    RetryingSocketChannel(SystemCallFailureCounter failures) {
        this.failures = failures;
    }

    /** Creates the channel of an accepted connection. */
    RetryingSocketChannel(Channel parent, SocketChannel accepted, SystemCallFailureCounter failures) {
        super(parent, accepted);
        this.failures = failures;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count;
        try {
            count = super.doReadBytes(into);
        } catch (IOException e) {
            failures.record("read", e);
            if (!readFailure.shouldRetry(e, System.nanoTime())) {
                throw e;
            }
            return 0;
        }
        if (count == END_OF_STREAM && readFailure.pending() != null) {
            throw readFailure.pending();
        }
        if (count < END_OF_STREAM) {
            return 0;
        }
        readFailure.succeeded();
        return count;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer waiting) throws Exception {
        try {
            super.doWrite(waiting);
            writeFailure.succeeded();
        } catch (IOException e) {
            failures.record("write", e);
            if (!writeFailure.shouldRetry(e, System.nanoTime())) {
                throw e;
            }
            eventLoop().schedule(unsafe()::flush, WRITE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
