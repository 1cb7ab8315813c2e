package walkpost.lab.net;

import java.io.Closeable;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * How late the machine itself is: a thread that does nothing but wait for the next millisecond, again and again, and
 * counts by how much it missed it. What it says holds for any thread of the lab, whatever the lab does meanwhile.
 */
public final class BareTimer implements Closeable {
    private static final long PERIOD_NS = 1_000_000;
    private static final long MOST_US = 60_000_000;

    private final ConcurrentHistogram late = new ConcurrentHistogram(MOST_US, 3);
    private final Thread thread = new Thread(this::run, "bare timer");
    private volatile boolean closed;

    /** Starts one. */
    public BareTimer() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!closed) {
            long due = System.nanoTime() + PERIOD_NS;
            LockSupport.parkNanos(PERIOD_NS);
            late.recordValue(Math.min(MOST_US, Math.max(0, System.nanoTime() - due) / 1_000));
        }
    }

    /** Returns the 99th percentile of its lateness so far, in microseconds. */
    public long p99Us() {
        return late.getValueAtPercentile(99);
    }

    @Override
    public void close() {
        closed = true;
    }
}
