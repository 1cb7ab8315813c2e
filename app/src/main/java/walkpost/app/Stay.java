package walkpost.app;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The time that a process stays: until it is up, or until the process is told to end (SIGTERM, SIGINT, SIGHUP). The end is then held up
 * until {@link #close}, so that what was opened meanwhile is released, or for so long at the most.
 */
final class Stay implements AutoCloseable {
    private static final long END_S = 15;

    private final CountDownLatch told = new CountDownLatch(1);
    private final CountDownLatch over = new CountDownLatch(1);
    private final Thread hook = new Thread(this::end, "end");

    Stay() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private void end() {
        told.countDown();
        try {
            over.await(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for so many seconds, or until told to end. */
    void await(long seconds) {
        try {
            told.await(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        over.countDown();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is ending already, and that is what this was there for.
            return;
        }
    }
}
