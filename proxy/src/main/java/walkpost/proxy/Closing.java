package walkpost.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * The end of a client's connection. To close one over bytes that nobody has read resets it, and an answer that is still
 * on its way is lost with it. So this side ends its sending behind all that was written, and whatever comes from then
 * on is read and dropped, until the client ends its side as well or has had its time.
 */
final class Closing {
    /** How long a client may take to end its side: a few round trips of any network. */
    private static final long LINGER_MS = 1_000;

    private enum State {
        /** Requests are read and answered. */
        OPEN,
        /** What was written last is on its way out; no request is taken any more. */
        WRITING,
        /** This side has ended, and the client's is waited for. */
        LINGERING
    }

    private final Channel channel;
    private final Sockets sockets;
    private State state = State.OPEN;

    Closing(Channel channel, Sockets sockets) {
        this.channel = channel;
        this.sockets = sockets;
    }

    Channel channel() {
        return channel;
    }

    /** Returns whether no more requests are to be taken: what is read is to be dropped. */
    boolean begun() {
        return state != State.OPEN;
    }

    /** Ends the connection, once all that was written has gone out. */
    void begin() {
        if (state != State.OPEN) {
            return;
        }
        state = State.WRITING;
        sockets.clientIdle(this, false);
        ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        // Whoever does not take its answer is not read from either: it would never count as silent.
        channel.config().setAutoRead(written.isDone());
        written.addListener(done -> linger());
    }

    private void linger() {
        if (!channel.isOpen()) {
            return;
        }
        state = State.LINGERING;
        channel.config().setAutoRead(true);
        sockets.clientLingers(this);
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        var end = channel.eventLoop().schedule(this::cut, LINGER_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> end.cancel(false));
    }

    /** Waits for the client no longer. */
    void cut() {
        channel.close();
    }
}
