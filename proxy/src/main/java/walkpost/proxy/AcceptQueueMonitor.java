package walkpost.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Determines whether a client that has just been accepted may have waited in the listener's accept queue: while accepting was paused, or
 * behind other clients, because the event loop accepts a few in each turn. The input that such a client has sent meanwhile is unread, and
 * the client may have gone already. Only a poll of the sockets that brings no client shows that the queue is empty. Wraps the listener
 * whose queue it watches. Used on the event loop only.
 */
final class AcceptQueueMonitor implements ClientListener {
    /**
     * A client that has waited for less than this counts as just arrived. An event loop that does not lag takes less than this for one
     * turn.
     */
    static final long MIN_WAIT_US = 20_000;

    private final EventLoopLagMonitor lagMonitor;
    private final ClientListener delegate;
    /** The time since which the queue may never have been empty; {@code Long.MAX_VALUE} if it is known to be empty. */
    private long queuedSinceUs = Long.MAX_VALUE;
    private int acceptedCount;
    private int pauseCount;
    /** Until then nothing is accepted, because an accept has failed. */
    private long retryAtUs = Long.MIN_VALUE;
    private boolean accepting = true;
    private boolean checkScheduled;

    AcceptQueueMonitor(EventLoopLagMonitor lagMonitor, ClientListener delegate) {
        this.lagMonitor = lagMonitor;
        this.delegate = delegate;
    }

    @Override
    public void setAccepting(boolean on) {
        accepting = on;
        if (on) {
            scheduleEmptyCheck();
        } else {
            pauseCount++;
            queuedSinceUs = Long.MIN_VALUE / 2;
        }
        delegate.setAccepting(on);
    }

    @Override
    public void close() {
        delegate.close();
    }

    /** Notes that an accept has failed, so that the client that is accepted next may have waited. */
    void acceptFailed() {
        long nowUs = lagMonitor.nowUs();
        retryAtUs = nowUs + TimeUnit.MILLISECONDS.toMicros(RetryingServerSocketChannel.ACCEPT_RETRY_DELAY_MS);
        queuedSinceUs = Math.min(queuedSinceUs, nowUs);
        scheduleEmptyCheck();
    }

    /** Notes that a client has been accepted; returns whether it may have waited. */
    boolean accepted() {
        acceptedCount++;
        if (queuedSinceUs == Long.MAX_VALUE) {
            queuedSinceUs = lagMonitor.earliestArrivalUs();
        }
        scheduleEmptyCheck();
        return lagMonitor.nowUs() - queuedSinceUs >= MIN_WAIT_US;
    }

    /** Schedules a check that notes the queue as empty if the next poll of the sockets brings no further client. */
    private void scheduleEmptyCheck() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        int acceptedBefore = acceptedCount;
        int pausesBefore = pauseCount;
        lagMonitor.runAfterIoPoll(() -> checkWhetherEmpty(acceptedBefore, pausesBefore));
    }

    private void checkWhetherEmpty(int acceptedBefore, int pausesBefore) {
        checkScheduled = false;
        if (!accepting) {
            // Checked once accepting goes on.
            return;
        }
        if (acceptedCount == acceptedBefore && pauseCount == pausesBefore && lagMonitor.nowUs() > retryAtUs) {
            queuedSinceUs = Long.MAX_VALUE;
        } else {
            scheduleEmptyCheck();
        }
    }
}
