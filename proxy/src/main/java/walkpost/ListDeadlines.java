package walkpost;

import java.util.TreeSet;

/**
 * Keeps the times from which whatever discovery has counts as published to this proxy, such as 4 s after each signal to reload. An earlier
 * deadline stays in force when a later one is added. Times are in microseconds, on the proxy's clock. Not thread-safe.
 */
public final class ListDeadlines {
    /** The time left if there is no deadline. */
    public static final long NONE = Long.MAX_VALUE;
    /** If more deadlines than these are to come, the last one gives way to the new one. */
    private static final int MAX_DEADLINES = 8;
    /** How long after a deadline a call that was started before it may fail, in microseconds, and is repeated as before the deadline. */
    private static final long LATE_FAILURE_US = 50_000;

    private final TreeSet<Long> deadlinesUs = new TreeSet<>();

    /** Adds a deadline. */
    public void add(long atUs, long nowUs) {
        removePassed(nowUs);
        if (deadlinesUs.size() == MAX_DEADLINES) {
            deadlinesUs.pollLast();
        }
        deadlinesUs.add(atUs);
    }

    /** Returns the time left until the next deadline, 0 just after one, or {@link #NONE}. */
    public long leftUs(long nowUs) {
        removePassed(nowUs);
        return deadlinesUs.isEmpty() ? NONE : Math.max(0, deadlinesUs.first() - nowUs);
    }

    /** Returns the number of deadlines that are kept. */
    int count() {
        return deadlinesUs.size();
    }

    private void removePassed(long nowUs) {
        deadlinesUs.headSet(nowUs - LATE_FAILURE_US).clear();
    }
}
