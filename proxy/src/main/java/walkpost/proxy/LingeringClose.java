package walkpost.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client's connection gracefully. Closing a socket with unread input makes the system send a reset, which destroys a response that
 * is still on its way. So this shuts down the output after all pending writes, and then reads and drops the client's input until the client
 * closes its side or {@link #LINGER_MS} have passed. Used on the event loop only.
 */
final class LingeringClose {
    /** The client's time to close its side: a few round trips of any network. */
    private static final long LINGER_MS = 1_000;

    private enum State {
        /** Requests are read and answered. */
        OPEN,
        /** The pending writes are being flushed; no further request is accepted. */
        WRITING,
        /** The output is shut down, and the client's close is awaited. */
        LINGERING
    }

    private final Channel channel;
    private final ConnectionBudget connectionBudget;
    private State state = State.OPEN;

    LingeringClose(Channel channel, ConnectionBudget connectionBudget) {
        this.channel = channel;
        this.connectionBudget = connectionBudget;
    }

    Channel channel() {
        return channel;
    }

    /** Returns whether the close has started, so that no further requests are accepted and input is dropped. */
    boolean isStarted() {
        return state != State.OPEN;
    }

    /** Starts the close: flushes the pending writes and then shuts down the output. */
    void start() {
        if (state != State.OPEN) {
            return;
        }
        state = State.WRITING;
        connectionBudget.setClientIdle(this, false);
        ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        // Reading pauses until the writes are flushed, because a client that sends but does not read would otherwise never count as idle.
        channel.config().setAutoRead(written.isDone());
        written.addListener(done -> linger());
    }

    private void linger() {
        if (!channel.isOpen()) {
            return;
        }
        state = State.LINGERING;
        channel.config().setAutoRead(true);
        connectionBudget.clientLingering(this);
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        var lingerTimer = channel.eventLoop().schedule(this::closeNow, LINGER_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> lingerTimer.cancel(false));
    }

    /** Closes the connection without waiting for the client any longer. */
    void closeNow() {
        channel.close();
    }
}
