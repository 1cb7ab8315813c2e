package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Determines whether the event loop lags, because of a pause of the process or a long batch of work. Input that is read then may have
 * waited all that time, and events that would end a request, such as its client's close, may still be unread behind it. A periodic
 * heartbeat task shows the lag by being overdue. Heartbeats and reads take turns, so a lag counts until the heartbeat after the overdue
 * one. Used on the event loop only.
 */
final class EventLoopLagMonitor {
    /** The heartbeat's period, and how late a heartbeat may be before the loop counts as lagging. */
    private static final long HEARTBEAT_US = 10_000;
    /** The least delay of a task that waits for a poll of the sockets, so that input already on its way has arrived by then. */
    private static final long MIN_POLL_DELAY_US = 1_000;

    private final ProxyClock clock;
    private final EventLoop loop;
    private long lastHeartbeatUs;
    /** The time at which the lag shown by the last heartbeat began; {@code Long.MAX_VALUE} if that heartbeat was on time. */
    private long laggingSinceUs = Long.MAX_VALUE;

    EventLoopLagMonitor(ProxyClock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
        this.lastHeartbeatUs = clock.nowUs();
    }

    /** Starts the heartbeat. */
    void start() {
        lastHeartbeatUs = clock.nowUs();
        loop.scheduleWithFixedDelay(this::heartbeat, HEARTBEAT_US, HEARTBEAT_US, TimeUnit.MICROSECONDS);
    }

    private void heartbeat() {
        laggingSinceUs = overdueSinceUs();
        lastHeartbeatUs = clock.nowUs();
    }

    /** Returns the time on the proxy's clock, in microseconds. */
    long nowUs() {
        return clock.nowUs();
    }

    /**
     * Returns the earliest time at which a byte that is read now may have arrived, in microseconds on the proxy's clock: now, unless the
     * loop lags.
     */
    long earliestArrivalUs() {
        return Math.min(clock.nowUs(), Math.min(laggingSinceUs, overdueSinceUs()));
    }

    /** Returns whether the loop lags, so that input may have arrived that it has had no chance to read. */
    boolean isLagging() {
        return laggingSinceUs != Long.MAX_VALUE || overdueSinceUs() != Long.MAX_VALUE;
    }

    /**
     * Runs a task once the loop has read from, or accepted from, each socket that has input by now. The task is scheduled from within
     * another one, because a delay alone does not suffice: after a batch of reads that outlasts the delay, the loop runs the due tasks
     * without a poll of the sockets in between.
     */
    void runAfterIoPoll(Runnable task) {
        loop.execute(() -> loop.schedule(task, MIN_POLL_DELAY_US, TimeUnit.MICROSECONDS));
    }

    private long overdueSinceUs() {
        return clock.nowUs() - lastHeartbeatUs > 2 * HEARTBEAT_US ? lastHeartbeatUs + HEARTBEAT_US : Long.MAX_VALUE;
    }
}
