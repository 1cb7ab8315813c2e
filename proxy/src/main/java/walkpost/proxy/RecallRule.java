package walkpost.proxy;

/**
 * When to call discovery again after a call that failed, ahead of the module's back-off ({@link walkpost.BackOff}). Pure; times are in
 * milliseconds. What was written to this proxy counts as told, and a list that tells of a drain is to be obeyed 300 ms later; so a call
 * whose answer may have been lost is made again soon, once, and twice more where nobody took that call or its answer broke off too. All
 * else waits for the back-off, as discovery may have too many callers.
 * <pre>
 * the call failed as                      called again                                   seen by discovery
 * LOCAL (no descriptor, memory, route)    after 5, 10, 20, 40, 40 ... ms, for 1 s        nothing
 * BROKEN_ANSWER                           after 0 to 20 ms, three times running         one call more for each list sent
 * ENDED_UNANSWERED (reset, closed)        once, after 20 to 120 ms; then back-off        one call more for each proxy
 * UNREACHABLE (refused, silent)           back-off; behind one of the two rows above     nothing, or a connection refused
 *                                         after 30 to 60 ms, twice
 * REJECTED (503, no list)                 back-off                                       -
 * </pre>
 * All counts begin anew with a sound answer: where hundreds of proxies lose a discovery that dies, each tries to reach it three times,
 * the first spread over 100 ms, and from then on at the pace of the back-off; one that turns calls away gets one call more of each.
 */
final class RecallRule {
    /** There is no call ahead of the back-off. */
    static final long BACK_OFF = -1;
    private static final long FIRST_LOCAL_MS = 5;
    private static final int MOST_LOCAL_DOUBLINGS = 3;
    private static final long LOCAL_MS = 1_000;
    private static final long BROKEN_SPREAD_MS = 20;
    private static final long ENDED_MS = 20;
    private static final long ENDED_SPREAD_MS = 100;
    private static final long UNREACHABLE_MS = 30;
    private static final long UNREACHABLE_SPREAD_MS = 30;
    /** How many calls go ahead of the back-off after an answer that may have been lost, beyond the first. */
    private static final int FURTHER_RECALLS = 2;

    /** Whether a call was made ahead of the back-off since the last sound answer, and how many more may be. */
    private boolean recalled;
    private int furtherRecalls;

    /** A sound answer has come: discovery serves. */
    void answered() {
        recalled = false;
    }

    /**
     * Returns after how long a call that could not be made is tried again, or {@link #BACK_OFF}.
     *
     * @param before how many tries of it have failed before this one
     * @param sinceMs how long ago the first try was made
     */
    static long localRetryMs(int before, long sinceMs) {
        return sinceMs >= LOCAL_MS ? BACK_OFF : FIRST_LOCAL_MS << Math.min(before, MOST_LOCAL_DOUBLINGS);
    }

    /**
     * Returns after how long the watch is opened again, all calls of which have failed, or {@link #BACK_OFF}.
     *
     * @param draw from 0 to 1, this proxy's own
     */
    long recallMs(CallFailure failure, double draw) {
        return switch (failure) {
            case BROKEN_ANSWER -> recalled ? further((long) (BROKEN_SPREAD_MS * draw)) : first((long) (BROKEN_SPREAD_MS * draw));
            case ENDED_UNANSWERED -> recalled ? BACK_OFF : first(ENDED_MS + (long) (ENDED_SPREAD_MS * draw));
            case UNREACHABLE -> recalled ? further(UNREACHABLE_MS + (long) (UNREACHABLE_SPREAD_MS * draw)) : BACK_OFF;
            case LOCAL, REJECTED -> BACK_OFF;
        };
    }

    private long first(long afterMs) {
        recalled = true;
        furtherRecalls = FURTHER_RECALLS;
        return afterMs;
    }

    private long further(long afterMs) {
        if (furtherRecalls == 0) {
            return BACK_OFF;
        }
        furtherRecalls--;
        return afterMs;
    }
}
