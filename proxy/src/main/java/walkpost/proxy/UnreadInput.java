package walkpost.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Bounds what a client may have sent on its connection without this proxy having read it yet: since when bytes may lie unread in the
 * system's buffers, and whether the client's close (FIN or RST) may. Bytes lie unread while the proxy has paused reading, while it reads
 * less than has arrived, and while the event loop lags. Used on the event loop only.
 */
final class UnreadInput {
    /** Input that is unread for less than this says nothing of the client: an attempt may begin a moment after the client has gone. */
    private static final long OLD_BACKLOG_US = 60_000;

    private final EventLoopLagMonitor lagMonitor;
    /** The earliest time at which an unread byte may have arrived; {@code Long.MAX_VALUE} if the latest read took in all there was. */
    private long unreadSinceUs = Long.MAX_VALUE;
    private boolean mayHoldClose;
    private boolean trackingBacklog;
    private boolean paused;
    /**
     * Whether the client's own system may hold input back, because the buffers here were full while reading was paused. A read may then find
     * less than its buffer holds, and the rest comes a moment later.
     */
    private boolean heldBack;
    private int readCount;
    private int pauseCount;
    private boolean emptyCheckScheduled;

    /**
     * Creates the bound for a new connection.
     *
     * @param mayHaveWaited whether the client may have waited in the listener's accept queue, so that its close may be unread already
     */
    UnreadInput(EventLoopLagMonitor lagMonitor, boolean mayHaveWaited) {
        this.lagMonitor = lagMonitor;
        this.mayHoldClose = mayHaveWaited;
    }

    /**
     * Takes into account from now on that a read may leave some input unread. Called when a long body begins: what is unread of short
     * requests is read within a few turns of the event loop.
     */
    void trackBacklog() {
        trackingBacklog = true;
    }

    /**
     * Notes a read. One that does not fill its buffer has taken in all there was, unless the client's system holds input back.
     *
     * @return the earliest time at which the bytes of this read may have arrived, in microseconds on the proxy's clock
     */
    long onRead(ByteBuf bytes) {
        long arrivedAtUs = earliestArrivalUs();
        unreadSinceUs = trackingBacklog && (heldBack || !bytes.isWritable()) ? arrivedAtUs : Long.MAX_VALUE;
        readCount++;
        trackClose();
        return arrivedAtUs;
    }

    /** Notes that the reads of this turn of the event loop are over, even though more may have arrived. */
    void onReadComplete() {
        checkWhetherEmpty();
    }

    /** Notes that reading is paused. */
    void onPaused() {
        paused = true;
        heldBack = true;
        pauseCount++;
        unreadSinceUs = earliestArrivalUs();
    }

    /** Notes that reading goes on. */
    void onResumed() {
        paused = false;
        checkWhetherEmpty();
    }

    /** Returns the earliest time at which a byte that is still unread may have arrived: now, if there is none. */
    long earliestArrivalUs() {
        return Math.min(unreadSinceUs, lagMonitor.earliestArrivalUs());
    }

    /** Returns whether the client's close may have arrived some time ago and still be unread. */
    boolean mayHoldClose() {
        return mayHoldClose || hasOldBacklog();
    }

    /** Returns whether so much is unread that a close behind it may be old, and no poll of the sockets can tell. */
    boolean hidesClose() {
        return hasOldBacklog() || paused && mayHoldClose;
    }

    private boolean hasOldBacklog() {
        return unreadSinceUs != Long.MAX_VALUE && lagMonitor.nowUs() - unreadSinceUs > OLD_BACKLOG_US;
    }

    /**
     * Updates whether the client's close may be unread. One read takes in a limited number of bytes, so the close is known not to be there
     * only once a poll of the sockets has brought no further read on this connection, which proves nothing while reading is paused.
     */
    private void trackClose() {
        mayHoldClose |= lagMonitor.isLagging();
        if (mayHoldClose) {
            int readsBefore = readCount;
            int pausesBefore = pauseCount;
            lagMonitor.runAfterIoPoll(() -> mayHoldClose &= paused || readCount != readsBefore || pauseCount != pausesBefore);
        }
    }

    /** Notes that nothing is unread if the next poll of the sockets brings no further read. */
    private void checkWhetherEmpty() {
        if (unreadSinceUs == Long.MAX_VALUE || paused || emptyCheckScheduled) {
            return;
        }
        emptyCheckScheduled = true;
        int readsBefore = readCount;
        int pausesBefore = pauseCount;
        lagMonitor.runAfterIoPoll(() -> {
            emptyCheckScheduled = false;
            if (readCount == readsBefore && pauseCount == pausesBefore) {
                heldBack = false;
                unreadSinceUs = Long.MAX_VALUE;
            } else {
                checkWhetherEmpty();
            }
        });
    }
}
