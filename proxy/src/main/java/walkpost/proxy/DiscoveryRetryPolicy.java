package walkpost.proxy;

/**
 * Decides when to call discovery again after a failed call, ahead of the balancer's back-off ({@link walkpost.DiscoveryBackOff}). Not
 * thread-safe, without I/O; times are in milliseconds.
 *
 * <p>A response that was written to this proxy counts as published, and a drain in it must be obeyed 300 ms later. So a call whose response
 * may have been lost is repeated soon, once, and twice more if the repeated call could not connect or its response broke off too. All
 * other failures wait for the back-off, because discovery may have too many callers.
 * <pre>
 * the call failed as                      is repeated                                   load on discovery
 * LOCAL (no descriptor, memory, route)    after 5, 10, 20, 40, 40 ... ms, for 1 s       none
 * BROKEN_ANSWER                           after 0 to 20 ms, three times in a row        one more call for each list sent
 * ENDED_UNANSWERED (reset, closed)        once, after 20 to 120 ms; then back-off       one more call for each proxy
 * UNREACHABLE (refused, silent)           back-off; after one of the two rows above     none, or a refused connection
 *                                         after 30 to 60 ms, twice
 * REJECTED (503, not a list)              back-off                                      -
 * </pre>
 * A valid response and a new address of discovery reset all counts. If a discovery with hundreds of proxies dies, each proxy tries to reach
 * it three times, the first tries spread over 100 ms, and continues at the pace of the back-off; a discovery that rejects calls gets one
 * more call from each proxy.
 */
final class DiscoveryRetryPolicy {
    /** Returned instead of a delay if the next call must wait for the back-off. */
    static final long USE_BACK_OFF = -1;
    private static final long FIRST_LOCAL_RETRY_MS = 5;
    private static final int MAX_LOCAL_RETRY_DOUBLINGS = 3;
    private static final long LOCAL_RETRY_PERIOD_MS = 1_000;
    private static final long BROKEN_ANSWER_SPREAD_MS = 20;
    private static final long ENDED_UNANSWERED_DELAY_MS = 20;
    private static final long ENDED_UNANSWERED_SPREAD_MS = 100;
    private static final long UNREACHABLE_DELAY_MS = 30;
    private static final long UNREACHABLE_SPREAD_MS = 30;
    /** How many calls follow the first early retry, ahead of the back-off. */
    private static final int FURTHER_EARLY_RETRIES = 2;

    /** Whether a call was repeated ahead of the back-off since the last reset. */
    private boolean retriedEarly;
    private int furtherEarlyRetriesLeft;

    /** Allows all early retries again: after a valid response, and for a discovery that has not been called yet. */
    void reset() {
        retriedEarly = false;
    }

    /**
     * Returns the delay before a call that this machine could not make is tried again, or {@link #USE_BACK_OFF}.
     *
     * @param earlierFailures how many tries of this call have failed before the latest one
     * @param sinceFirstTryMs how long ago the first try was made
     */
    static long localRetryMs(int earlierFailures, long sinceFirstTryMs) {
        return sinceFirstTryMs >= LOCAL_RETRY_PERIOD_MS
                ? USE_BACK_OFF : FIRST_LOCAL_RETRY_MS << Math.min(earlierFailures, MAX_LOCAL_RETRY_DOUBLINGS);
    }

    /**
     * Returns the delay before the watch is reopened after all its calls have failed, or {@link #USE_BACK_OFF}.
     *
     * @param draw a random number of this proxy from 0 to 1
     */
    long watchRetryMs(CallFailure failure, double draw) {
        return switch (failure) {
            case BROKEN_ANSWER -> retriedEarly
                    ? furtherRetry((long) (BROKEN_ANSWER_SPREAD_MS * draw)) : firstRetry((long) (BROKEN_ANSWER_SPREAD_MS * draw));
            case ENDED_UNANSWERED -> retriedEarly
                    ? USE_BACK_OFF : firstRetry(ENDED_UNANSWERED_DELAY_MS + (long) (ENDED_UNANSWERED_SPREAD_MS * draw));
            case UNREACHABLE -> retriedEarly
                    ? furtherRetry(UNREACHABLE_DELAY_MS + (long) (UNREACHABLE_SPREAD_MS * draw)) : USE_BACK_OFF;
            case LOCAL, REJECTED -> USE_BACK_OFF;
        };
    }

    private long firstRetry(long delayMs) {
        retriedEarly = true;
        furtherEarlyRetriesLeft = FURTHER_EARLY_RETRIES;
        return delayMs;
    }

    private long furtherRetry(long delayMs) {
        if (furtherEarlyRetriesLeft == 0) {
            return USE_BACK_OFF;
        }
        furtherEarlyRetriesLeft--;
        return delayMs;
    }
}
