package walkpost;

/**
 * The back-off after a failed call for the list of servers: exponential, with jitter, so that the proxies do not call in step. They share
 * one discovery service that can answer only a few calls a second. Stateless.
 */
public final class DiscoveryBackOff {
    /**
     * The longest back-off, in microseconds. After a failed call, a change has to reach the proxy within 6 s from the time when discovery
     * knows it and can be reached. Of these 6 s, a call that began just before that moment takes at most 2 s, and an answer from a busy
     * discovery 1.5 s. Of the 2.5 s that are left, 0.1 s are for the machine. {@code proxy.ListCallTiming} has the whole sum.
     */
    public static final long MAX_DELAY_US = 2_400_000;
    /** The first step is the time within which a proxy has to ask, divided by this; each further step is twice the one before. */
    private static final int FIRST_STEP_DIVISOR = 32;
    private static final int MAX_DOUBLINGS = 3;
    /** The longest back-off just before a deadline, in microseconds: it ends within the 300 ms that a drain has to be obeyed. */
    private static final long MIN_LIMIT_US = 250_000;

    private DiscoveryBackOff() { }

    /**
     * Returns how long to wait, in microseconds: from a half to three halves of the step. If that exceeds {@link #MAX_DELAY_US}, the jitter
     * is spread over the range that is left, because proxies that all waited for the longest time would call in the same moment.
     *
     * @param requestListWithinUs the time within which a proxy without a watch has to ask for the list, from the settings
     * @param failedCalls the number of calls that have failed in a row, from 1
     * @param jitter a random number from 0 to 1, this proxy's own
     * @param leftUs the time until the next of the {@link ListDeadlines}; the back-off takes at most half of it
     */
    public static long delayUs(long requestListWithinUs, int failedCalls, double jitter, long leftUs) {
        double stepUs = requestListWithinUs / (double) FIRST_STEP_DIVISOR * (1 << Math.min(failedCalls - 1, MAX_DOUBLINGS));
        double mostUs = Math.min(1.5 * stepUs, limitUs(leftUs));
        double leastUs = Math.min(0.5 * stepUs, mostUs / 2);
        return (long) (leastUs + (mostUs - leastUs) * jitter);
    }

    /**
     * Returns the longest delay before the next call, in microseconds. Half of the time until a deadline is left for the call itself, so
     * that a discovery that can be reached again is called before the deadline, whenever that is.
     *
     * @param leftUs the time until the next deadline for the list, or {@link ListDeadlines#NONE}
     */
    public static long limitUs(long leftUs) {
        return Math.min(MAX_DELAY_US, Math.max(leftUs / 2, MIN_LIMIT_US));
    }
}
