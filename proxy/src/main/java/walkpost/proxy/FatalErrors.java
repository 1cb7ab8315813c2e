package walkpost.proxy;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides what becomes of the process when an error leaves the work of one of its threads. The event loop goes on, because one connection's
 * error must not end the service of all; if errors follow each other so fast that nothing else can be done, the process ends at once, with
 * its reason in the log. A thread that ends is always logged. Thread-safe.
 */
final class FatalErrors {
    /** The exit status of a process that ends because of an error of its own. */
    static final int EXIT_STATUS = 70;
    /** So many errors of the event loop within {@link #WINDOW_NS} end the process. */
    static final int MAX_LOOP_ERRORS = 100;
    static final long WINDOW_NS = TimeUnit.SECONDS.toNanos(1);
    /** Written without allocating anything when the log itself finds no memory. */
    private static final byte[] NO_MEMORY_TO_LOG = "ERROR serve no_memory_to_log\n".getBytes(StandardCharsets.US_ASCII);

    /** Ends the process. */
    interface Exit {
        void halt(int status);
    }

    private static final EventLog LOG = new EventLog("serve");

    private final LongSupplier nanoTime;
    private final Exit exit;
    /** Frees memory that can be given up; runs on the event loop. */
    private volatile Runnable memoryRelief = () -> { };
    private long windowStartNs;
    private int errorsInWindow;

    FatalErrors() {
        this(System::nanoTime, status -> Runtime.getRuntime().halt(status));
    }

    /** Creates an instance with another clock and another way to end the process. */
    FatalErrors(LongSupplier nanoTime, Exit exit) {
        this.nanoTime = nanoTime;
        this.exit = exit;
    }

    /** Sets what frees memory after an {@link OutOfMemoryError} of the event loop. */
    void setMemoryRelief(Runnable relief) {
        memoryRelief = relief;
    }

    /** Logs every thread that ends by an error from now on. */
    void watchThreads() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> report("thread_ended", error, thread.getName()));
    }

    /** Handles an error that has left the work of the event loop. Called on that loop, which goes on afterwards. */
    void onLoopError(Throwable error) {
        if (error instanceof OutOfMemoryError) {
            relieveMemory();
        }
        report("loop_error", error, Thread.currentThread().getName());
        if (isTooMany()) {
            report("process_ends", error, Thread.currentThread().getName());
            exit.halt(EXIT_STATUS);
        }
    }

    private void relieveMemory() {
        try {
            memoryRelief.run();
        } catch (Throwable failure) {
            report("memory_not_freed", failure, Thread.currentThread().getName());
        }
    }

    private synchronized boolean isTooMany() {
        long nowNs = nanoTime.getAsLong();
        if (errorsInWindow == 0 || nowNs - windowStartNs > WINDOW_NS) {
            windowStartNs = nowNs;
            errorsInWindow = 0;
        }
        errorsInWindow++;
        return errorsInWindow >= MAX_LOOP_ERRORS;
    }

    /** Logs an error; never throws, because its callers have nobody to throw to. */
    private static void report(String event, Throwable error, String thread) {
        try {
            LOG.error(event, error, "thread", thread);
        } catch (Throwable failure) {
            System.err.write(NO_MEMORY_TO_LOG, 0, NO_MEMORY_TO_LOG.length);
            System.err.flush();
        }
    }
}
