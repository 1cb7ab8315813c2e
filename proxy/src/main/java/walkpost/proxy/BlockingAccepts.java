package walkpost.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Determines from the times of blocking accepts whether a client may have waited in the accept queue. An accept that had to wait has found
 * the queue empty, so that its client has just arrived; any other client may have waited since that was last so. Not thread-safe.
 */
final class BlockingAccepts {
    /** An accept that takes at least this long had to wait; one that finds a client takes less unless its thread gets no CPU. */
    static final long WAIT_NS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long MIN_QUEUED_NS = TimeUnit.MICROSECONDS.toNanos(AcceptQueueMonitor.MIN_WAIT_US);

    /** When the queue was last seen empty; long ago before that. */
    private long emptyAtNs;

    /** Creates a monitor of a queue that may hold clients already. */
    BlockingAccepts(long nowNs) {
        emptyAtNs = nowNs - MIN_QUEUED_NS;
    }

    /** Notes an accept; returns whether its client may have waited. */
    boolean accepted(long calledAtNs, long returnedAtNs) {
        if (returnedAtNs - calledAtNs >= WAIT_NS) {
            emptyAtNs = returnedAtNs;
        }
        return returnedAtNs - emptyAtNs >= MIN_QUEUED_NS;
    }
}
