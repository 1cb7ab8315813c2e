package walkpost.proxy;

import java.util.List;

/**
 * One clock for the list of backends, asked for or pushed: how long a call may wait, when one that brings nothing is taken for
 * silent and made again, and when it is given up. Pure; all times are in milliseconds.
 *
 * <p>What a watch misses counts as told 6 s after it fell silent, or 2 s after its wait is over if that is later, whether or
 * not it arrived (STANDING, "One clock for silence"). Nothing tells a silent watch from one without news before its wait is over.
 * So a wait is short, and once it is over the list is asked for again at once, beside the call that says nothing: that one may
 * be late only. The first to answer ends the others. Two are made, as the first may fall silent too.
 */
final class ListClock {
    /** What a call is worth waiting for. {@code againMs}: when to ask again beside it, counted from its beginning. */
    record Patience(long waitMs, List<Long> againMs, long giveUpMs) { }

    /** A proxy without a watch would ask once in the time that the settings give; a watch so many times as often. */
    private static final long PART = 5;
    /** More often would be asked for nothing: news are seconds old when they are listed. */
    private static final long LEAST_WAIT_MS = 1_000;
    /** Beyond this the time told would lie more than 6 s after the call began, which is no gain for anyone. */
    private static final long MOST_WAIT_MS = 4_000;
    /** An answer is due when the wait is over, and is late after so long. */
    private static final long LATE_MS = 300;
    private static final long LATE_AGAIN_MS = 900;
    private static final long GIVE_UP_MS = 3_000;
    /**
     * Where all proxies ask one service it takes their calls in turn, as after a mass start, and ends those that have waited too
     * long itself. A call that needs no wait is silent only past that, and what it misses counts 6 s after its beginning.
     */
    private static final long TURN_MS = 2_000;
    private static final long TURN_AGAIN_MS = 4_000;
    private static final long GIVE_UP_TURN_MS = 6_000;
    /** An agent on the same machine is reached at once or not at all, and what it has counts at once. */
    private static final int AGENT_CONNECT_MS = 200;
    private static final int SERVICE_CONNECT_MS = 1_000;
    private static final long AGENT_RETRY_MS = 100;

    private final boolean pushed;
    private final long waitMs;

    /** Takes whether lists are pushed, and the time within which a proxy without a watch has to ask. */
    ListClock(boolean pushed, long askWithinMs) {
        this.pushed = pushed;
        this.waitMs = Math.max(LEAST_WAIT_MS, Math.min(MOST_WAIT_MS, askWithinMs / PART));
    }

    /** Returns the longest that a call of the watch may wait for news. */
    long waitMs() {
        return waitMs;
    }

    /** Returns what a call is worth waiting for that may itself wait so long. */
    Patience patience(long wait) {
        return wait == 0 && !pushed ? new Patience(0, List.of(TURN_MS, TURN_AGAIN_MS), GIVE_UP_TURN_MS)
                : new Patience(wait, List.of(wait + LATE_MS, wait + LATE_AGAIN_MS), wait + GIVE_UP_MS);
    }

    /** Returns how long the opening of a connection is waited for. */
    int connectMs() {
        return pushed ? AGENT_CONNECT_MS : SERVICE_CONNECT_MS;
    }

    /** Returns after how long an agent that has failed is asked again: it is close by, and its news count from its return on. */
    long agentRetryMs() {
        return AGENT_RETRY_MS;
    }
}
