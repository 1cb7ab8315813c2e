package walkpost.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that continues after a failed accept, such as for lack of a descriptor: it accepts the waiting clients a few
 * milliseconds later. Netty's own channel would accept no client for a second. Used on its event loop only.
 */
class RetryingServerSocketChannel extends NioServerSocketChannel {
    /** The delay keeps the loop from spinning, because a listener whose queue can't be emptied is ready all the time. */
    static final long ACCEPT_RETRY_DELAY_MS = 10;

    private final SystemCallFailureCounter failures;
    private Runnable acceptFailureTask = () -> { };
    private boolean acceptWanted = true;
    private boolean pausedAfterFailure;

    RetryingServerSocketChannel(SystemCallFailureCounter failures) {
        this.failures = failures;
    }

    /** Sets the task that runs after each failed accept. */
    void onAcceptFailure(Runnable task) {
        acceptFailureTask = task;
    }

    /** Stops accepting clients for now, or resumes. */
    void setAccepting(boolean on) {
        acceptWanted = on;
        config().setAutoRead(acceptWanted && !pausedAfterFailure);
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
            failures.record("accept", e);
            pauseAfterFailure();
            return 0;
        }
    }

    /** Returns the next client's connection, or null if none waits. */
    SocketChannel accept() throws IOException {
        return javaChannel().accept();
    }

    private RetryingSocketChannel connection(SocketChannel accepted) throws IOException {
        try {
            return new RetryingSocketChannel(this, accepted, failures);
        } catch (RuntimeException e) {
            accepted.close();
            throw new IOException("can't set up the channel of an accepted connection", e);
        }
    }

    private void pauseAfterFailure() {
        acceptFailureTask.run();
        if (pausedAfterFailure || !isActive()) {
            return;
        }
        pausedAfterFailure = true;
        setAccepting(acceptWanted);
        eventLoop().schedule(() -> {
            pausedAfterFailure = false;
            setAccepting(acceptWanted);
        }, ACCEPT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
