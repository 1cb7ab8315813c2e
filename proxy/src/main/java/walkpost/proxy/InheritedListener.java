package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts connections from an inherited listening socket that other processes hold as well. Whether that socket blocks is a property that
 * all of these processes share, so it is left unchanged, and a thread of its own waits in {@code accept}: on the event loop, a connection
 * that another process accepts first would block everything else. Accepted connections are handed to the event loop;
 * {@link #setAccepting} and {@link #close} may be called on any thread.
 */
final class InheritedListener implements ClientListener {
    /** Delay before the next accept after one has failed, for instance for lack of descriptors. */
    private static final long RETRY_DELAY_MS = 20;
    /**
     * The limit of connections that are accepted and not yet handled by the event loop. With 1, a busy loop would take one client a turn
     * while the accept queue fills with clients that have given up; a large number would escape the count of open descriptors.
     */
    static final int MAX_PENDING_HANDOVERS = 16;

    /**
     * A connection that has been accepted.
     *
     * @param mayHaveWaited whether its client may have waited in the accept queue
     */
    record AcceptedClient(SocketChannel channel, boolean mayHaveWaited) { }

    private final ServerSocketChannel socket;
    private final EventLoop loop;
    private final SystemCallFailureCounter failures;
    private final EventLog log = new EventLog("listener");
    private final Consumer<AcceptedClient> onAccepted;
    private final Runnable onClosed;
    private final Semaphore handOverPermits = new Semaphore(MAX_PENDING_HANDOVERS);
    /** Used on the accepting thread only, because a poll by the event loop, which accepts nothing, can't show that the queue is empty. */
    private final BlockingAccepts accepts = new BlockingAccepts(System.nanoTime());
    /** Guarded by this object's monitor. */
    private boolean accepting = true;

    /**
     * Creates a listener that accepts nothing before {@link #start}.
     *
     * @param failures counts the accepts that fail
     * @param onAccepted receives each connection, on the event loop
     * @param onClosed runs on the event loop after the listener was closed, once {@code onAccepted} has run for all accepted connections
     */
    InheritedListener(ServerSocketChannel socket, EventLoop loop, SystemCallFailureCounter failures, Consumer<AcceptedClient> onAccepted,
            Runnable onClosed) {
        this.failures = failures;
        this.socket = socket;
        this.loop = loop;
        this.onAccepted = onAccepted;
        this.onClosed = onClosed;
    }

    void start() {
        var thread = new Thread(this::run, "accept");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void setAccepting(boolean on) {
        accepting = on;
        notifyAll();
    }

    @Override
    public void close() {
        try {
            // This closes only this process's descriptor; the shared socket stays open in the other processes.
            socket.close();
        } catch (IOException e) {
            log.error("socket_not_closed", e);
        }
        setAccepting(true);
    }

    private void run() {
        try {
            while (socket.isOpen()) {
                acceptNext();
            }
            loop.execute(onClosed);
        } catch (InterruptedException | RejectedExecutionException e) {
            // The event loop has stopped, and the process ends with it.
        }
    }

    private void acceptNext() throws InterruptedException {
        try {
            handOverPermits.acquire();
            awaitAccepting();
            long calledAtNs = System.nanoTime();
            SocketChannel accepted = socket.accept();
            var client = new AcceptedClient(accepted, accepts.accepted(calledAtNs, System.nanoTime()));
            loop.execute(() -> {
                handOverPermits.release();
                onAccepted.accept(client);
            });
        } catch (ClosedChannelException e) {
            // The listener was closed, and the loop in run() ends.
        } catch (IOException e) {
            retryLater(e);
        } catch (OutOfMemoryError e) {
            // Only this accept has failed, and no other thread would accept clients in place of this one.
            retryLater(new IOException(e));
        }
    }

    private void retryLater(IOException failure) throws InterruptedException {
        handOverPermits.release();
        failures.record("accept", failure);
        TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
    }

    private synchronized void awaitAccepting() throws InterruptedException {
        while (!accepting && socket.isOpen()) {
            wait();
        }
    }
}
