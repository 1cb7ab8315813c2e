package walkpost.fleet.member;

/**
 * Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section IV.A). Signs that this member itself is slow, such as
 * unacknowledged pings, raise the score and lengthen its timeouts; acknowledged pings lower the score again.
 *
 * <p>After a pause of its process this member is in doubt: it neither suspects other members nor declares them dead. The doubt ends when
 * one of its pings is acknowledged, and in any case after the longest suspicion timeout, because no other member may be left that
 * could acknowledge a ping. Owned by one {@link Membership}; not thread-safe.
 */
final class LocalHealth {
    /** Score added by a pause of the process: it counts more than one lost ping, but is less than the score of a lasting slowness. */
    private static final int PAUSE_PENALTY = 2;
    private final int maxScore;
    private int score;
    private long doubtUntilUs = Long.MIN_VALUE;

    LocalHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    int score() {
        return score;
    }

    /** Returns a timeout multiplied by one plus the score. */
    long scaled(long timeoutUs) {
        return timeoutUs * (1 + score);
    }

    void degrade(int steps) {
        score = Math.min(maxScore, score + steps);
    }

    /** Records that one of this member's pings has been acknowledged in time. */
    void recordAck() {
        score = Math.max(0, score - 1);
        doubtUntilUs = Long.MIN_VALUE;
    }

    void recordPause(long doubtUntilUs) {
        degrade(PAUSE_PENALTY);
        this.doubtUntilUs = doubtUntilUs;
    }

    boolean isInDoubt(long nowUs) {
        return nowUs < doubtUntilUs;
    }
}
