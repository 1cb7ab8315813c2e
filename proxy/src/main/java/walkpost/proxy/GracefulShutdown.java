package walkpost.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Shuts the process down gracefully on SIGTERM: every accepted request is answered, and the process ends before the platform kills it.
 * Clients are served over their open connections until shortly before the end, because the next proxy in this place starts no
 * sooner and there may be no other proxy. {@link #run} blocks its caller, and any thread may call {@link #hasBegun}. Everything else runs
 * on the event loop.
 */
final class GracefulShutdown {
    /** How long new connections keep coming in after SIGTERM, until the front stops sending clients to this proxy. */
    private static final long FRONT_LAG_MS = 500;
    /** How long after the longest deadline, counted from SIGTERM, the process ends. The platform kills it a little later. */
    private static final long END_AFTER_DEADLINE_MS = 600;
    /** The longest deadline that the platform takes into account for the time of the kill. */
    private static final long MAX_DEADLINE_MS = 3_000;
    /**
     * How long before the end each answer begins to close its connection; a request that comes in then is still answered. This does not
     * begin before the last new client has come, however short the deadlines are.
     */
    private static final long CLOSE_CONNECTIONS_MS = 400;
    /** How long before the end every accepted request is answered, which leaves time to write the answers. */
    private static final long WRITE_ANSWERS_MS = 100;
    /** How long before the end the proxy leaves the fleet, after its connections have begun to close. */
    private static final long LEAVE_FLEET_MS = 300;
    private static final long IDLE_CHECK_INTERVAL_MS = 10;
    /** How often it is checked whether the event loop, which would tell that no client is connected, has ended. */
    private static final long LOOP_CHECK_INTERVAL_US = 50_000;

    private final EventLog log = new EventLog("serve");
    private final ProxyClock clock;
    private final EventLoop loop;
    private final Frontend frontend;
    private final EventLoopLagMonitor lagMonitor;
    private final boolean sharedListener;
    private final String proxyName;
    private final CountDownLatch clientsGone = new CountDownLatch(1);
    private volatile boolean begun;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param sharedListener whether clients come in over a listening socket that the next process holds as well
     * @param proxyName the name of the proxy in the log
     */
    GracefulShutdown(ProxyClock clock, EventLoop loop, Frontend frontend, EventLoopLagMonitor lagMonitor, boolean sharedListener,
            String proxyName) {
        this.clock = clock;
        this.loop = loop;
        this.frontend = frontend;
        this.lagMonitor = lagMonitor;
        this.sharedListener = sharedListener;
        this.proxyName = proxyName;
    }

    /** Returns whether the shutdown has begun. */
    boolean hasBegun() {
        return begun;
    }

    /** Lets the process end now, because no client is connected and none will come. */
    void allClientsGone() {
        clientsGone.countDown();
    }

    /** Lets the process end as soon as no client is connected any more. Called on the loop. */
    void watchForLastClient() {
        loop.scheduleWithFixedDelay(() -> {
            if (!frontend.hasClients()) {
                allClientsGone();
            }
        }, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts the proxy down. Returns when the process is to end, at once if the event loop has ended already: nothing can be answered then.
     *
     * @param longestDeadlineMs the longest time that a client waits for an answer
     * @param leave leaves the fleet; called as late as possible, because orders of the fleet still apply to the clients that are
     *     served here until then
     * @return whether the event loop has run to the end
     */
    boolean run(long longestDeadlineMs, LeaveFleet leave) {
        long endMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS) + END_AFTER_DEADLINE_MS;
        long endAtUs = clock.nowUs() + TimeUnit.MILLISECONDS.toMicros(endMs);
        try {
            if (isLoopAlive()) {
                loop.execute(() -> begin(endAtUs, endMs));
                boolean allGone = awaitClientsGone(endAtUs - TimeUnit.MILLISECONDS.toMicros(LEAVE_FLEET_MS));
                leave.within(LEAVE_FLEET_MS);
                allGone = allGone || awaitClientsGone(endAtUs);
                if (allGone || isLoopAlive()) {
                    log.info(allGone ? "drained" : "ends_with_clients", "proxy", proxyName);
                    return true;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (RejectedExecutionException e) {
            log.warn("loop_rejects_tasks", "reason", e.getMessage());
        }
        log.warn("ends_without_event_loop", "proxy", proxyName);
        return false;
    }

    /** Waits until no client is connected, at the latest until a time or the end of the event loop; returns whether all have gone. */
    private boolean awaitClientsGone(long untilUs) throws InterruptedException {
        long leftUs = untilUs - clock.nowUs();
        while (leftUs > 0 && isLoopAlive()) {
            if (clientsGone.await(Math.min(leftUs, LOOP_CHECK_INTERVAL_US), TimeUnit.MICROSECONDS)) {
                return true;
            }
            leftUs = untilUs - clock.nowUs();
        }
        return clientsGone.getCount() == 0;
    }

    /** A loop whose thread has died by an error may still take tasks, which then never run. */
    private boolean isLoopAlive() {
        return !loop.isShuttingDown()
                && (!(loop instanceof SingleThreadEventExecutor executor) || executor.threadProperties().isAlive());
    }

    /** Leaves the fleet, if the proxy is a member of one. */
    interface LeaveFleet {
        /** Returns once the proxy has left, or after {@code timeoutMs}. */
        void within(long timeoutMs) throws InterruptedException;
    }

    private void begin(long endAtUs, long endMs) {
        begun = true;
        log.info("draining", "proxy", proxyName);
        frontend.drain(endAtUs - TimeUnit.MILLISECONDS.toMicros(WRITE_ANSWERS_MS));
        if (sharedListener) {
            // The next process accepts the clients that wait in the queue, and those whose connection is closed here after an answer.
            frontend.stopListening();
            frontend.closeAfterResponses();
        } else {
            scheduleBeforeEnd(endAtUs, endMs - FRONT_LAG_MS, () -> {
                frontend.stopListening();
                watchForLastClient();
            });
        }
        // Connections close only after a further poll of the sockets, because a listener that is closed in the same turn of the loop
        // accepts its waiting clients until then.
        scheduleBeforeEnd(endAtUs, Math.min(CLOSE_CONNECTIONS_MS, endMs - FRONT_LAG_MS), () -> lagMonitor.runAfterIoPoll(() -> {
            frontend.closeAfterResponses();
            frontend.closeIdleConnections();
        }));
        scheduleBeforeEnd(endAtUs, WRITE_ANSWERS_MS / 2, frontend::failPendingRequests);
    }

    /** Schedules a task on the loop for a time before the end of the process. */
    private void scheduleBeforeEnd(long endAtUs, long beforeMs, Runnable task) {
        long delayUs = endAtUs - TimeUnit.MILLISECONDS.toMicros(beforeMs) - clock.nowUs();
        loop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }
}
