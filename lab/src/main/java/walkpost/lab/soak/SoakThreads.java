package walkpost.lab.soak;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Threads and waits of a soak. */
final class SoakThreads {
    private static final long STACK_BYTES = 256 * 1024;

    /** A task that may fail because its peer has gone. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private SoakThreads() { }

    /** Runs a task on a daemon thread of its own; a connection that fails ends it. */
    static Thread start(String name, Task task) {
        var thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has gone or the soak is over; what that means is judged from the record.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleepMs(long ms) throws InterruptedException {
        if (ms > 0) {
            TimeUnit.MILLISECONDS.sleep(ms);
        }
    }

    static void sleepUntil(long atNs) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, atNs - System.nanoTime()));
    }
}
