package walkpost.proxy;

/**
 * Determines whether a client that has just been accepted may have waited in the listener's accept queue: while accepting was paused, or
 * behind other clients, because the event loop accepts one in each turn. The input that such a client has sent meanwhile is unread, and the
 * client may have gone already. Wraps the listener whose queue it watches. Used on the event loop only.
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
    private long lastAcceptUs = Long.MIN_VALUE / 2;
    private int acceptedCount;
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
            // The queue may be of any length now; only a period without a new client, counted from here, shows that it is empty.
            lastAcceptUs = lagMonitor.nowUs();
        } else {
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
        lastAcceptUs = lagMonitor.nowUs();
        queuedSinceUs = Math.min(queuedSinceUs, lastAcceptUs);
    }

    /** Notes that a client has been accepted; returns whether it may have waited. */
    boolean accepted() {
        acceptedCount++;
        long nowUs = lagMonitor.nowUs();
        long arrivedAtUs = lagMonitor.earliestArrivalUs();
        if (accepting && (queuedSinceUs == Long.MAX_VALUE || arrivedAtUs - lastAcceptUs >= MIN_WAIT_US)) {
            queuedSinceUs = arrivedAtUs;
        }
        lastAcceptUs = nowUs;
        if (nowUs - queuedSinceUs >= MIN_WAIT_US / 2) {
            scheduleEmptyCheck();
        }
        return nowUs - queuedSinceUs >= MIN_WAIT_US;
    }

    /** Schedules a check that notes the queue as empty if the next poll of the sockets brings no further client. */
    private void scheduleEmptyCheck() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        int countBefore = acceptedCount;
        lagMonitor.runAfterIoPoll(() -> {
            checkScheduled = false;
            if (accepting && acceptedCount == countBefore) {
                queuedSinceUs = Long.MAX_VALUE;
            }
        });
    }
}
