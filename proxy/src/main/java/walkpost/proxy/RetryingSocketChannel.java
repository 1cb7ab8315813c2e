package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection that outlives a read or a write which failed for a moment: the call is made again. An end that follows such a failure is
 * no orderly end, as an answer of unknown length would be taken for whole. Used on its loop alone.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    /** What the JDK's channels return at the end of a stream; what lies below it stands for an interrupted call. */
    private static final int END_OF_STREAM = -1;
    private static final long WRITE_AGAIN_MS = 1;

    private final SystemCallFailures failures;
    private final MomentaryFailure reading = new MomentaryFailure();
    private final MomentaryFailure writing = new MomentaryFailure();

    /** Creates one that is yet to be connected. */
    RetryingSocketChannel(SystemCallFailures failures) {
        this.failures = failures;
    }

    /** Creates one for a connection that was accepted. */
    RetryingSocketChannel(Channel parent, SocketChannel accepted, SystemCallFailures failures) {
        super(parent, accepted);
        this.failures = failures;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count;
        try {
            count = super.doReadBytes(into);
        } catch (IOException e) {
            failures.failed("read", e);
            if (!reading.mayPass(e, System.nanoTime())) {
                throw e;
            }
            return 0;
        }
        if (count == END_OF_STREAM && reading.pending() != null) {
            throw reading.pending();
        }
        if (count < END_OF_STREAM) {
            return 0;
        }
        reading.passed();
        return count;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer waiting) throws Exception {
        try {
            super.doWrite(waiting);
            writing.passed();
        } catch (IOException e) {
            failures.failed("write", e);
            if (!writing.mayPass(e, System.nanoTime())) {
                throw e;
            }
            eventLoop().schedule(unsafe()::flush, WRITE_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }
}
