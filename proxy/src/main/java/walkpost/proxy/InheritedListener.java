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
 * A listening socket that other processes hold as well. Whether it blocks is a property that all of them share, so it
 * is left as it is, and a thread of its own waits in accept: on a loop, one connection that another process has taken
 * first would hold up all that goes on there.
 */
final class InheritedListener implements Listener {
    /** After a failure, such as a descriptor too many, the next try waits so long. */
    private static final long AFTER_FAILURE_MS = 20;
    /**
     * So many may be accepted and not yet known to the loop. With one, a busy loop would take in one client a turn, and
     * the queue of the others fill with such as have given up; many would escape the count of open descriptors.
     */
    static final int AHEAD = 16;

    private final ServerSocketChannel socket;
    private final EventLoop loop;
    private final SystemCallFailures failures;
    private final Log log = new Log("listener");
    private final Consumer<SocketChannel> admit;
    private final Runnable ended;
    private final Semaphore ahead = new Semaphore(AHEAD);
    private boolean open = true;

    /**
     * Makes one that takes nobody in yet.
     *
     * @param failures counts the accepts that fail
     * @param admit gets each connection, on the loop
     * @param ended is run on the loop after it was closed, once all that was accepted by then has been admitted
     */
    InheritedListener(ServerSocketChannel socket, EventLoop loop, SystemCallFailures failures, Consumer<SocketChannel> admit, Runnable ended) {
        this.failures = failures;
        this.socket = socket;
        this.loop = loop;
        this.admit = admit;
        this.ended = ended;
    }

    void start() {
        var thread = new Thread(this::run, "accept");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void accept(boolean on) {
        open = on;
        notifyAll();
    }

    @Override
    public void close() {
        try {
            // The shared socket itself lives on: this closes no more than this process's descriptor of it.
            socket.close();
        } catch (IOException e) {
            log.failure("socket_not_closed", e);
        }
        accept(true);
    }

    private void run() {
        try {
            while (socket.isOpen()) {
                next();
            }
            loop.execute(ended);
        } catch (InterruptedException | RejectedExecutionException e) {
            // The loop has ended, and with it the process.
        }
    }

    private void next() throws InterruptedException {
        try {
            ahead.acquire();
            untilOpen();
            SocketChannel accepted = socket.accept();
            loop.execute(() -> {
                ahead.release();
                admit.accept(accepted);
            });
        } catch (ClosedChannelException e) {
            // Nobody else is wanted.
        } catch (IOException e) {
            ahead.release();
            failures.failed("accept", e);
            TimeUnit.MILLISECONDS.sleep(AFTER_FAILURE_MS);
        }
    }

    private synchronized void untilOpen() throws InterruptedException {
        while (!open && socket.isOpen()) {
            wait();
        }
    }
}
