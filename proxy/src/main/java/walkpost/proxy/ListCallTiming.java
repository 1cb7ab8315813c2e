package walkpost.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import walkpost.DiscoveryBackOff;
import walkpost.ListDeadlines;

/**
 * Computes when the proxy calls discovery for the list of servers: how long a call may wait for changes, when a call without a response is
 * repeated in parallel (hedged), when it times out, and how soon failed calls are repeated. Immutable and without I/O; all times are in
 * milliseconds.
 *
 * <p>The protocol sets the deadline: a change that a silent watch misses counts as published 6 s after the watch fell silent, or 2 s after
 * the end of its wait if that is later, whether or not the change has arrived here. Before the end of its wait a silent watch cannot be
 * told apart from one without changes. So waits are short, and as soon as a wait is over the list is requested again, in parallel to the
 * silent call, which may only be late. The first valid response ends the other calls. There are two such hedge calls, because the first
 * may fall silent too.
 *
 * <p>After a call that was refused, failed or timed out, a change counts as published 6 s after discovery had it and was reachable.
 * Discovery may become reachable right after the last failing step began, so each row of this table, in seconds, must sum up to at
 * most 6 s if the list is requested from a service. The back-off is the balancer's ({@link walkpost.DiscoveryBackOff}), at most 2.4 s;
 * a response takes 1.5 s if a hundred proxies call at once:
 * <pre>
 * last step before discovery became reachable       until it ends   back-off   next call     response   sum
 * refused, 503, or broken off at once                         0.0        2.4           -          1.5   3.9
 * connection not established in time                          1.0        2.4           -          1.5   4.9
 * response broken off, or 503 after 2 s in the queue          2.0        2.4           -          1.5   5.9
 * last of three calls, the other two silent                   2.0        2.4           -          1.5   5.9
 * the same for a call that waited                             2.05       2.4           -          1.5   5.95
 * back-off, followed by a silent call                           -        2.4         2.0          1.5   5.9
 * silence, or a response that never ends                        -          -         2.0          1.5   3.5
 * the same twice in a row                                       -          -         4.0          1.5   5.5
 * the same for a call that waits, 3.5 s                         -          -         4.1          1.5   5.6
 * </pre>
 * After a signal to reload, whatever discovery has counts as published {@link #LIST_DUE_AFTER_SIGNAL_MS} later, and a drain must be obeyed
 * 0.3 s after that. The new address may be unreachable for a part of that time, so failed calls follow each other faster as the deadline
 * comes closer: the back-off is at most half of the time left, or 0.25 s if that is more ({@link walkpost.DiscoveryBackOff#limitUs}). A call
 * that is open at the deadline may never be answered, so it is hedged within {@link #DEADLINE_HEDGE_SPREAD_MS} before it. If discovery
 * becomes reachable T seconds after the signal, each row must sum up to at most 4.3 s:
 * <pre>
 * last step before discovery became reachable       next call starts at the latest    left for the response
 * refused, 503, reset, or broken off at once        T + (4.0 - T) / 2                 0.3 s + (4.0 - T) / 2
 * the same for T from 3.5 to 4.0                    T + 0.25                          4.05 s - T
 * not connected, silent, 503 or broken off later    4.0, for T up to 3.8              0.3
 * </pre>
 * For the new process of an upgrade that becomes ready without a list from discovery, the same holds {@link #LIST_DUE_AFTER_READY_MS} after
 * its readiness: each row with 2.0 in place of 4.0, and T counted from the readiness. A back-off that is under way is shortened at once.
 * What discovery told the old process is there at the readiness already ({@link ListHandover}).
 *
 * <p>If the hedge call of a silent call falls silent as well, the next one follows 1.95 s later, and a change missed by the second silence
 * counts 6 s after it: 3.5 s are needed. A change missed by the first silence is then late by up to 1.6 s, for waits over 2.4 s. This is
 * accepted: no scenario that the proxy has to handle has two silences in a row, and when proxies called sooner, discovery rejected calls in
 * scenarios with one silence.
 */
final class ListCallTiming {
    /** The times of one call: how long it waits, when to start each hedge call, and when to give up; the last two from its start. */
    record CallSchedule(long waitMs, List<Long> hedgeAfterMs, long timeoutMs) { }

    /**
     * A watch calls this many times within the period in which the settings require one call of each proxy, which a shared service can
     * answer. With five, 66 calls of 60 proxies that started at once were answered by 503 when their first waits ended.
     */
    private static final long CALLS_PER_REQUIRED_PERIOD = 3;
    /** Shorter waits gain nothing, because changes are already seconds old when they are listed. */
    private static final long MIN_WAIT_MS = 1_000;
    /** Together with the hedge call and a slow response, this stays within the 6 s of the protocol. */
    private static final long MAX_WAIT_MS = 3_500;
    /** How long after the end of its wait a call is hedged. A slow service should not get a second call; at least 2 s are left for it. */
    private static final long HEDGE_AFTER_WAIT_MS = 600;
    /** An agent on the same machine has no queue, so the second hedge call follows soon. */
    private static final long AGENT_SECOND_HEDGE_AFTER_WAIT_MS = 1_250;
    private static final long AGENT_TIMEOUT_AFTER_WAIT_MS = 3_300;
    /**
     * A service takes calls in turn and answers each within 2 s or rejects it. If all watches fall silent at once, their hedge calls queue
     * behind one another, and a second hedge call of the same proxy has both rejected; so it starts only after the first has had its turn.
     */
    private static final long SERVICE_SECOND_HEDGE_AFTER_WAIT_MS = 2_550;
    /** Late enough that the call does not time out just before the last hedge call has had its turn. */
    private static final long SERVICE_TIMEOUT_AFTER_WAIT_MS = 4_600;
    /**
     * A hedge call that fails is repeated after 100 to 200 ms, at random so that proxies do not call in step; the delay doubles with each
     * failure, so that calls rejected because discovery has too many callers do not add to the load.
     */
    private static final long HEDGE_RETRY_MS = 100;
    private static final int MAX_HEDGE_RETRY_DOUBLINGS = 4;
    /** How long after a signal to reload everything that discovery has counts as published to this proxy. */
    static final long LIST_DUE_AFTER_SIGNAL_MS = 4_000;
    /** How long after the readiness of the new process of an upgrade everything that discovery has counts as published to it. */
    static final long LIST_DUE_AFTER_READY_MS = 2_000;
    /** The hedge calls of many proxies that got the same signal are spread over this time before the deadline. */
    private static final long DEADLINE_HEDGE_SPREAD_MS = 200;
    /** A hedge call that is due anyway so soon after the deadline takes the place of the one before it. */
    private static final long DEADLINE_HEDGE_TOLERANCE_MS = 100;
    /**
     * A service shared by all proxies takes their calls in turn, as after a mass start, and ends calls that waited too long itself. A call
     * that need not wait for changes is silent only after that time, and a change it misses counts 6 s after its start.
     */
    private static final long SERVICE_NO_WAIT_HEDGE_MS = 2_000;
    private static final long SERVICE_NO_WAIT_SECOND_HEDGE_MS = 4_000;
    private static final long SERVICE_NO_WAIT_TIMEOUT_MS = 6_000;
    /** An agent on the same machine is reachable at once or not at all, and its changes count at once. */
    private static final int AGENT_CONNECT_TIMEOUT_MS = 200;
    private static final int SERVICE_CONNECT_TIMEOUT_MS = 1_000;
    private static final long AGENT_RETRY_MS = 100;

    private final boolean pushed;
    private final long maxWaitMs;

    /**
     * Creates the timing for one configuration.
     *
     * @param pushed whether an agent on this machine pushes lists; if not, they are requested from a service that all proxies share
     * @param requestListWithinMs the period in which a proxy without a watch must request the list once
     */
    ListCallTiming(boolean pushed, long requestListWithinMs) {
        this.pushed = pushed;
        this.maxWaitMs = Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, requestListWithinMs / CALLS_PER_REQUIRED_PERIOD));
    }

    /** Returns the longest time that a call of the watch may wait for changes. */
    long maxWaitMs() {
        return maxWaitMs;
    }

    /**
     * Returns how long a call of the watch waits for changes, at random because all proxies start together and must not call in step.
     *
     * @param first whether this is the first call that waits: the first waits of a fleet that started at once are spread over the whole
     *              range, later ones over its last quarter
     * @param draw a random number of this proxy from 0 to 1
     */
    long randomWaitMs(boolean first, double draw) {
        double minFraction = first ? 1.0 / 8 : 3.0 / 4;
        return (long) (maxWaitMs * (minFraction + (1 - minFraction) * draw));
    }

    /** Returns the schedule of a call that waits up to {@code waitMs} for changes; 0 if it is answered at once. */
    CallSchedule schedule(long waitMs) {
        if (pushed) {
            return new CallSchedule(waitMs, List.of(waitMs + HEDGE_AFTER_WAIT_MS, waitMs + AGENT_SECOND_HEDGE_AFTER_WAIT_MS),
                    waitMs + AGENT_TIMEOUT_AFTER_WAIT_MS);
        }
        return waitMs == 0
                ? new CallSchedule(0, List.of(SERVICE_NO_WAIT_HEDGE_MS, SERVICE_NO_WAIT_SECOND_HEDGE_MS), SERVICE_NO_WAIT_TIMEOUT_MS)
                : new CallSchedule(waitMs, List.of(waitMs + HEDGE_AFTER_WAIT_MS, waitMs + SERVICE_SECOND_HEDGE_AFTER_WAIT_MS),
                        waitMs + SERVICE_TIMEOUT_AFTER_WAIT_MS);
    }

    /**
     * Returns the delay before a failed hedge call is repeated. It is short because changes that the silent call misses count soon.
     *
     * @param earlierRetries how many hedge calls of the same silent call have been repeated already
     * @param draw a random number of this proxy from 0 to 1
     * @param leftUs the time until the next of the {@link walkpost.ListDeadlines}, in microseconds
     */
    long hedgeRetryMs(int earlierRetries, double draw, long leftUs) {
        double longestMs = (HEDGE_RETRY_MS << Math.min(earlierRetries, MAX_HEDGE_RETRY_DOUBLINGS)) * 2.0;
        double limitMs = leftUs == ListDeadlines.NONE ? longestMs : TimeUnit.MICROSECONDS.toMillis(DiscoveryBackOff.limitUs(leftUs));
        return (long) (Math.min(longestMs, limitMs) * (1 + draw) / 2);
    }

    /**
     * Returns how long before a deadline for the list a call that need not wait for changes is hedged if it is still open then.
     *
     * @param draw a random number of this proxy from 0 to 1
     */
    long deadlineHedgeBeforeMs(double draw) {
        return (long) (DEADLINE_HEDGE_SPREAD_MS * draw);
    }

    /**
     * Returns whether a call needs another hedge call before a deadline for the list.
     *
     * @param schedule the schedule of the call
     * @param ageMs how long ago the call started
     * @param leftMs the time until the deadline
     */
    boolean needsDeadlineHedge(CallSchedule schedule, long ageMs, long leftMs) {
        return schedule.waitMs() == 0 && schedule.hedgeAfterMs().stream()
                .noneMatch(afterMs -> afterMs >= ageMs && afterMs <= ageMs + leftMs + DEADLINE_HEDGE_TOLERANCE_MS);
    }

    /** Returns the connect timeout. */
    int connectTimeoutMs() {
        return pushed ? AGENT_CONNECT_TIMEOUT_MS : SERVICE_CONNECT_TIMEOUT_MS;
    }

    /** Returns the delay before a failed agent is called again: it is on this machine, and its changes count from its return on. */
    long agentRetryMs() {
        return AGENT_RETRY_MS;
    }
}
