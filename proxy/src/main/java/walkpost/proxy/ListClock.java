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
 *
 * <p>After a call that was refused, failed or given up, a change counts as told 6 s after discovery had it and could be reached. It may
 * be reached from the very moment on in which the last step that could fail was begun. So no row may sum up to more than 6 s, in
 * seconds, where a service is asked; {@link walkpost.BackOff} is the module's, 2.4 s at most, and an answer is here 1.5 s after its
 * call where a hundred ask at once:
 * <pre>
 * the last step before discovery could be reached   until it ends   back-off   asked again    answer   sum
 * refused, answered by 503, or broken off at once             0.0        2.4             -       1.5   3.9
 * a connection that never came up                             1.0        2.4             -       1.5   4.9
 * an answer broken off, or 503 after 2 s in turn              2.0        2.4             -       1.5   5.9
 * the last of three calls, the others silent                  2.0        2.4             -       1.5   5.9
 * the same, of a call that waited                             2.05       2.4             -       1.5   5.95
 * back-off, and then a call that says nothing                   -        2.4           2.0       1.5   5.9
 * silence, or an answer without end                             -          -           2.0       1.5   3.5
 * the same twice running                                        -          -           4.0       1.5   5.5
 * the same of a call that waits, 3.5 s                          -          -           4.1       1.5   5.6
 * </pre>
 * Where the call beside a silent one falls silent in its turn, the next comes 1.95 s later, and what that second silence hides counts 6 s
 * after it: 3.5 s are needed. What the first silence hid is late by up to 1.6 s then, for waits over 2.4 s: no day has two silences running,
 * and to ask sooner had calls turned away on days with one (brink 10, {@code docs/findings/acceptance.md}).
 */
final class ListClock {
    /** What a call is worth waiting for. {@code againMs}: when to ask again beside it, counted from its beginning. */
    record Patience(long waitMs, List<Long> againMs, long giveUpMs) { }

    /**
     * A service that all share bears a call of each proxy in the time that the settings give for asking; a watch asks so many times as
     * often. Five times was too often: of 60 proxies that started at once 66 calls ended in 503 when their first waits were over.
     */
    private static final long PART = 3;
    /** More often would be asked for nothing: news are seconds old when they are listed. */
    private static final long LEAST_WAIT_MS = 1_000;
    /** With the time for asking again, and for a slow answer, this stays within the 6 s. */
    private static final long MOST_WAIT_MS = 3_500;
    /** An answer is due when the wait is over. A service that is only slow is not to be asked twice; there are 2 s at least. */
    private static final long LATE_MS = 600;
    /** An agent on the same machine has no queue: it is asked once more soon. */
    private static final long LATE_AGAIN_MS = 1_250;
    private static final long GIVE_UP_MS = 3_300;
    /**
     * A service takes calls in turn and answers each within 2 s or turns it away. Where all watches have fallen silent at once the calls
     * beside them wait for one another, and one more of the same proxy has both turned away: so it comes only once the first of them has had
     * its turn. It is not given up just before the turn of the last.
     */
    private static final long LATE_AGAIN_IN_TURN_MS = 2_550;
    private static final long GIVE_UP_IN_TURN_MS = 4_600;
    /**
     * A call beside a silent one that fails is made again so soon, and up to twice that, not in step with the other proxies; then in
     * twice the time, and so on: where all are turned away, as discovery has too many callers, nobody is to add to them.
     */
    private static final long REPLACE_MS = 100;
    private static final int MOST_DOUBLINGS = 4;
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

    /**
     * Returns how long a call of the watch is to wait for news, never in step with the other proxies, which all start together.
     *
     * @param first whether it is the first that waits: those of a fleet that has started at once are spread over the whole wait
     * @param draw from 0 to 1, this proxy's own
     */
    long waitMs(boolean first, double draw) {
        double least = first ? 1.0 / 8 : 3.0 / 4;
        return (long) (waitMs * (least + (1 - least) * draw));
    }

    /** Returns what a call is worth waiting for that may itself wait so long. */
    Patience patience(long wait) {
        if (pushed) {
            return new Patience(wait, List.of(wait + LATE_MS, wait + LATE_AGAIN_MS), wait + GIVE_UP_MS);
        }
        return wait == 0 ? new Patience(0, List.of(TURN_MS, TURN_AGAIN_MS), GIVE_UP_TURN_MS)
                : new Patience(wait, List.of(wait + LATE_MS, wait + LATE_AGAIN_IN_TURN_MS), wait + GIVE_UP_IN_TURN_MS);
    }

    /**
     * Returns after how long a call that has failed beside a silent one is made again: what the silent one misses counts soon.
     *
     * @param before how many were made again before it, beside the same silent call
     * @param draw from 0 to 1, this proxy's own
     */
    long replaceMs(int before, double draw) {
        return (long) ((REPLACE_MS << Math.min(before, MOST_DOUBLINGS)) * (1 + draw));
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
