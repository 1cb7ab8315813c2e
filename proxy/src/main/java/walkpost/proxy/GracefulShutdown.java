package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The end of a process that was told to end: all that is taken is answered, and it is over in time. Until shortly before, clients are served
 * over the connections they have: the next proxy in this place begins no sooner, and others may not be there.
 */
final class GracefulShutdown {
    /** New connections go on coming for so long after the signal. */
    private static final long FRONT_LAG_MS = 500;
    /** The process is killed so long after the longest deadline, counted from the signal; a little earlier it ends. */
    private static final long KILL_MS = 600;
    /** A longer deadline than this does not put the kill off. */
    private static final long MOST_DEADLINE_MS = 3_000;
    /**
     * So long before the end each answer becomes its connection's last; whoever asks then is still served. Not before the
     * last new client has come, however short the deadlines are.
     */
    private static final long LAST_CALL_MS = 400;
    /** What is taken is answered so long before the end: the answer is to be written as well. */
    private static final long WRITING_MS = 100;
    /** What has been answered so long before the end, the last call, leaves time for a good-bye to the fleet. */
    private static final long LEAVE_MS = 300;
    private static final long LOOK_MS = 10;

    private final Log log = new Log("serve");
    private final Clock clock;
    private final EventLoop loop;
    private final Frontend frontend;
    private final LoopBeat beat;
    private final boolean sharedListener;
    private final String name;
    private final CountDownLatch done = new CountDownLatch(1);
    private volatile boolean begun;

    /**
     * Creates one that has not begun.
     *
     * @param sharedListener whether clients come over a socket that the next process holds as well
     * @param name the proxy's, for the log
     */
    GracefulShutdown(Clock clock, EventLoop loop, Frontend frontend, LoopBeat beat, boolean sharedListener, String name) {
        this.clock = clock;
        this.loop = loop;
        this.frontend = frontend;
        this.beat = beat;
        this.sharedListener = sharedListener;
        this.name = name;
    }

    /** Returns whether the process has been told to end. */
    boolean begun() {
        return begun;
    }

    /** There are no clients, and none will come. */
    void nobodyIsLeft() {
        done.countDown();
    }

    /** From now on the process may end as soon as no client is connected any more. Called on the loop. */
    void watchForTheLastClient() {
        loop.scheduleWithFixedDelay(() -> {
            if (!frontend.busy()) {
                nobodyIsLeft();
            }
        }, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes the proxy down; returns when the process is to end.
     *
     * @param longestDeadlineMs the longest that a client waits for an answer
     * @param leave says good-bye to the others of the fleet, within the milliseconds that it is given; as late as can be, as what they
     *     order meanwhile holds for those who are still served here
     */
    void run(long longestDeadlineMs, Leaving leave) {
        long endMs = Math.min(longestDeadlineMs, MOST_DEADLINE_MS) + KILL_MS;
        long endAtUs = clock.now() + TimeUnit.MILLISECONDS.toMicros(endMs);
        loop.execute(() -> begin(endAtUs, endMs));
        try {
            boolean all = done.await(endMs - LEAVE_MS, TimeUnit.MILLISECONDS);
            leave.within(LEAVE_MS);
            all = all || done.await(endAtUs - clock.now(), TimeUnit.MICROSECONDS);
            log.info(all ? "drained" : "ends_with_clients", "proxy", name);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Leaves whatever the process is a part of. */
    interface Leaving {
        /** Returns once that is done, or so many milliseconds are over. */
        void within(long ms) throws InterruptedException;
    }

    private void begin(long endAtUs, long endMs) {
        begun = true;
        log.info("draining", "proxy", name);
        frontend.drain(endAtUs - TimeUnit.MILLISECONDS.toMicros(WRITING_MS));
        if (sharedListener) {
            // Whoever is not accepted yet is the next process's, and so is whoever has had an answer.
            frontend.stopListening();
            frontend.closeAfterAnswers();
        } else {
            beforeEnd(endAtUs, endMs - FRONT_LAG_MS, () -> {
                frontend.stopListening();
                watchForTheLastClient();
            });
        }
        // A look at the sockets later: a listener that was closed in the same turn still takes newcomers in until then.
        beforeEnd(endAtUs, Math.min(LAST_CALL_MS, endMs - FRONT_LAG_MS), () -> beat.afterLook(() -> {
            frontend.closeAfterAnswers();
            frontend.closeIdle();
        }));
        beforeEnd(endAtUs, WRITING_MS / 2, frontend::answerNow);
    }

    /** Has a task run on the loop so long before a moment on the clock. */
    private void beforeEnd(long endAtUs, long beforeMs, Runnable task) {
        long delayUs = endAtUs - TimeUnit.MILLISECONDS.toMicros(beforeMs) - clock.now();
        loop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }
}
