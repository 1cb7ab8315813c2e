package walkpost;

/**
 * Detects outliers: one instance watches a whole server, or one flow at a server (the requests of one class and tenant).
 *
 * <p>A failure ejects the server or flow for a time. After that it is on probation: it gets one attempt at a time until enough attempts
 * have succeeded. Used by the thread of its {@link Policy} only. All times are on the proxy's clock, in microseconds.
 */
final class OutlierDetector {
    /** The longest ejection, as a multiple of the base ejection time. */
    static final int MAX_EJECTION_MULTIPLE = 8;

    private int inFlight;
    private long lastSignalAt;
    private long ejectionUs;
    private long ejectedUntil = Long.MIN_VALUE;

    /**
     * Returns whether a further attempt may be sent: any ejection is over, and the attempts in flight, if there are any, have not
     * been silent for {@code silenceUs}. On probation no other attempt may be in flight.
     */
    boolean isEligible(long now, long silenceUs) {
        return now >= ejectedUntil && (inFlight == 0 || ejectionUs == 0 && now - lastSignalAt < silenceUs);
    }

    void attemptSent(long now) {
        lastSignalAt = inFlight++ == 0 ? now : lastSignalAt;
    }

    /** Counts the end of an attempt; {@code signal} says whether the server or its network has responded in any way. */
    void attemptEnded(long now, boolean signal) {
        inFlight--;
        lastSignalAt = signal ? now : lastSignalAt;
    }

    /**
     * Records the result of an attempt, unless an ejection is in force. The first failure ejects for {@code baseEjectionUs}, each failure
     * on probation doubles the ejection time, and each success halves it.
     */
    void recordResult(boolean success, long now, long baseEjectionUs) {
        if (now >= ejectedUntil) {
            ejectionUs = success ? (ejectionUs > baseEjectionUs ? ejectionUs / 2 : 0)
                    : Math.min(Math.max(2 * ejectionUs, baseEjectionUs), MAX_EJECTION_MULTIPLE * baseEjectionUs);
            ejectedUntil = success ? ejectedUntil : now + ejectionUs;
        }
    }

    boolean isIdle() {
        return inFlight == 0;
    }

    /** Ends the ejection or probation, as if no attempt had ever failed. Attempts in flight stay counted. */
    void clearFailures() {
        ejectionUs = 0;
        ejectedUntil = Long.MIN_VALUE;
    }

    boolean isEjectedOrOnProbation() {
        return ejectionUs > 0;
    }

    /** Returns whether this instance behaves as a new one does, so that it need not be stored. */
    boolean isInInitialState() {
        return inFlight == 0 && ejectionUs == 0;
    }
}
