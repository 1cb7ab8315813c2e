package walkpost;

import java.util.Random;
import java.util.function.Consumer;
import walkpost.Balancer.Action;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Settings;
import walkpost.Balancer.Watch;

/**
 * Decides when the list of servers and a watch on its changes are requested, if the list comes on request only. A failed request is
 * repeated after a back-off ({@link DiscoveryBackOff}), which is shorter before a deadline for the list ({@link ListDeadlines}). Times are
 * in microseconds. Not thread-safe, without a clock and I/O.
 */
final class ListRequestSchedule {
    /** The token of the timer at which the next request may be due. */
    static final String TIMER = "ask";
    private static final long NOT_STARTED = Long.MIN_VALUE;
    private static final long NO_REQUEST_DUE = Long.MAX_VALUE;

    private final Random random;
    private final ListDeadlines deadlines = new ListDeadlines();
    private long requestAt = NOT_STARTED;
    /** The number of requests that have failed since the last list. */
    private int failedCalls;

    /** Creates a schedule that draws its jitter from a random stream. */
    ListRequestSchedule(Random random) {
        this.random = random;
    }

    /** Returns whether the first request has been made. */
    boolean isStarted() {
        return requestAt != NOT_STARTED;
    }

    /** Returns whether the next request is due. */
    boolean isDue(long now) {
        return now >= requestAt;
    }

    /** Requests the list and a watch on its changes. A timer repeats this if no list comes in time. */
    void request(Settings settings, long now, Consumer<Action> actions) {
        if (settings.limits().listOnRequest()) {
            actions.accept(new Watch(true));
            schedule(settings.rules().requestListWithinUs(), now, actions);
        } else {
            requestAt = NO_REQUEST_DUE;
        }
    }

    /** Schedules the next request after one that has failed. */
    void onCallFailed(Settings settings, long now, Consumer<Action> actions) {
        failedCalls++;
        schedule(DiscoveryBackOff.delayUs(settings.rules().requestListWithinUs(), failedCalls, random.nextDouble(), deadlines.leftUs(now)),
                now, actions);
    }

    /** Ends the back-off: the list has arrived, and the watch tells its changes. */
    void onListReceived() {
        failedCalls = 0;
        requestAt = NO_REQUEST_DUE;
    }

    /** Adds a time from which whatever discovery has counts as published; a back-off that is longer than allowed before it is shortened. */
    void addDeadline(long atUs, long now, Consumer<Action> actions) {
        deadlines.add(atUs, now);
        long limitUs = DiscoveryBackOff.limitUs(deadlines.leftUs(now));
        if (failedCalls > 0 && requestAt != NO_REQUEST_DUE && requestAt - now > limitUs) {
            schedule((long) (limitUs * (1 + random.nextDouble()) / 2), now, actions);
        }
    }

    private void schedule(long delayUs, long now, Consumer<Action> actions) {
        requestAt = now + delayUs;
        actions.accept(new SetTimer(requestAt, TIMER));
    }
}
