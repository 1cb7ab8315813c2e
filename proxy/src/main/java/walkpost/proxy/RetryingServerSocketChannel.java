package walkpost.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listener that goes on after an accept that failed, such as for want of a descriptor: those who wait are accepted a moment later.
 * Netty's own would take nobody in for a second. Used on its loop alone.
 */
class RetryingServerSocketChannel extends NioServerSocketChannel {
    /** Not at once: a listener whose queue can't be emptied is ready all the time. */
    static final long ACCEPT_AGAIN_MS = 10;

    private final SystemCallFailures failures;
    private Runnable acceptFailed = () -> { };
    private boolean wanted = true;
    private boolean paused;

    RetryingServerSocketChannel(SystemCallFailures failures) {
        this.failures = failures;
    }

    /** Has a task run after each accept that failed. */
    void onAcceptFailure(Runnable task) {
        acceptFailed = task;
    }

    /** Takes no more clients in for now, or goes on. */
    void accepting(boolean on) {
        wanted = on;
        config().setAutoRead(wanted && !paused);
    }

    @Override
    protected int doReadMessages(List<Object> into) {
        try {
            SocketChannel accepted = accept();
            if (accepted == null) {
                return 0;
            }
            into.add(connection(accepted));
            return 1;
        } catch (ClosedChannelException e) {
            return -1;
        } catch (IOException e) {
            failures.failed("accept", e);
            pause();
            return 0;
        }
    }

    /** Returns the next client's connection, or null if nobody waits. */
    SocketChannel accept() throws IOException {
        return javaChannel().accept();
    }

    private RetryingSocketChannel connection(SocketChannel accepted) throws IOException {
        try {
            return new RetryingSocketChannel(this, accepted, failures);
        } catch (RuntimeException e) {
            accepted.close();
            throw new IOException("a connection could not be set up", e);
        }
    }

    private void pause() {
        acceptFailed.run();
        if (paused || !isActive()) {
            return;
        }
        paused = true;
        accepting(wanted);
        eventLoop().schedule(() -> {
            paused = false;
            accepting(wanted);
        }, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
    }
}
