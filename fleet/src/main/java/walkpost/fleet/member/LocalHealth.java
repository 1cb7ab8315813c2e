package walkpost.fleet.member;

/**
 * How far this member trusts itself: Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section IV.A). What it gets
 * wrong makes it wait longer, what it gets right shorter again. After its process stood still it is in doubt: then it condemns nobody
 * until one of its pings has been acknowledged, or, should nobody be left, until the longest suspicion would be over.
 * Owned by one {@link Membership}.
 */
final class LocalHealth {
    /** How much a standstill counts: more than one ping lost, less than to be slow for long. */
    private static final int STANDSTILL = 2;
    private final int worst;
    private int score;
    private long doubtUntilUs = Long.MIN_VALUE;

    LocalHealth(int worst) {
        this.worst = worst;
    }

    int score() {
        return score;
    }

    /** Returns a time of waiting made longer by how little this member trusts itself. */
    long scaled(long us) {
        return us * (1 + score);
    }

    void worse(int steps) {
        score = Math.min(worst, score + steps);
    }

    /** A ping has been acknowledged in time. */
    void acknowledged() {
        score = Math.max(0, score - 1);
        doubtUntilUs = Long.MIN_VALUE;
    }

    void stoodStill(long doubtUntilUs) {
        worse(STANDSTILL);
        this.doubtUntilUs = doubtUntilUs;
    }

    boolean inDoubt(long nowUs) {
        return nowUs < doubtUntilUs;
    }
}
