package walkpost.proxy;

/**
 * Decides whether a response of unknown length is still coming when its time is over. Until more than
 * {@link ServerConnections#MAX_BUFFERED_BODY_BYTES} have arrived it may be a long one, of which the client is owed what the server goes on
 * giving, or a short one, which is due as a whole. A server that has stopped in the middle is told from a slow one by its silence. Has no
 * clock and does no I/O; times are in microseconds on the proxy's clock. Used on the event loop only.
 */
final class ResponseProgress {
    /** A server that has been silent for this long in the middle of a response is taken to have stopped. */
    static final long STALL_US = 1_000_000;
    /**
     * A server that gives nothing from the deadline until this long after it is taken to have stopped as well. A final answer may be half a
     * second late.
     */
    static final long SILENCE_AFTER_DEADLINE_US = 450_000;

    private long lastReadUs;
    private long readBytes;

    /** Notes that a part of the response has been read; the head counts as a part without bytes. */
    void onRead(long nowUs, int bytes) {
        lastReadUs = nowUs;
        readBytes += bytes;
    }

    /** Returns whether the response is known to be a long one, which has no time limit as a whole. */
    boolean isLong() {
        return readBytes > ServerConnections.MAX_BUFFERED_BODY_BYTES;
    }

    /** Returns whether the server has not been silent for too long, judged by {@code nowUs} and the deadline of the request. */
    boolean isComing(long nowUs, long deadlineUs) {
        return nowUs < stalledAtUs(deadlineUs);
    }

    /** Returns the time at which the server is taken to have stopped if it gives nothing until then. */
    long stalledAtUs(long deadlineUs) {
        long bySilence = lastReadUs + STALL_US;
        return lastReadUs < deadlineUs ? Math.min(bySilence, deadlineUs + SILENCE_AFTER_DEADLINE_US) : bySilence;
    }
}
