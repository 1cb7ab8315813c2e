package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the loop was held up, by a pause of the process or a long batch of work. What is read then may have waited
 * all the while, and what would end a request, such as its client's end, may still lie unread behind it. It shows in an
 * overdue beat; as beats and reads take turns, it holds until the beat after it. Used on the loop alone.
 */
final class LoopBeat {
    /** How often the loop shows that it runs, and how late that may be before it counts as held up. */
    private static final long BEAT_US = 10_000;
    /** What waits for a look at the sockets waits so long at least: what was on its way has come by then, too. */
    private static final long LOOK_US = 1_000;

    private final Clock clock;
    private final EventLoop loop;
    private long beatAt;
    private long heldUpFrom = Long.MAX_VALUE;

    LoopBeat(Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
        this.beatAt = clock.now();
    }

    /** Begins to watch the loop. */
    void start() {
        beatAt = clock.now();
        loop.scheduleWithFixedDelay(this::beat, BEAT_US, BEAT_US, TimeUnit.MICROSECONDS);
    }

    private void beat() {
        heldUpFrom = overdueFrom();
        beatAt = clock.now();
    }

    /** Returns the time on the proxy's clock, in microseconds. */
    long now() {
        return clock.now();
    }

    /** Returns when a byte that is read now may have come, in microseconds on the clock: now, unless the loop was held up. */
    long arrivedAt() {
        return Math.min(clock.now(), Math.min(heldUpFrom, overdueFrom()));
    }

    /** Returns whether there may be news that the loop has had no chance to read. */
    boolean heldUp() {
        return heldUpFrom != Long.MAX_VALUE || overdueFrom() != Long.MAX_VALUE;
    }

    /**
     * Runs it once each socket has been read from, or accepted from, that had something to bring by now. A delay alone is
     * not enough: a batch of reads that outlasts it is followed by what is due, with no look at the sockets between them.
     */
    void afterLook(Runnable then) {
        loop.execute(() -> loop.schedule(then, LOOK_US, TimeUnit.MICROSECONDS));
    }

    private long overdueFrom() {
        return clock.now() - beatAt > 2 * BEAT_US ? beatAt + BEAT_US : Long.MAX_VALUE;
    }
}
