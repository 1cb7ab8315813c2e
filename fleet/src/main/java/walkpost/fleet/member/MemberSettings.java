package walkpost.fleet.member;

/**
 * The intervals (in microseconds) and limits of the membership protocol. The symbols in parentheses are those of the Lifeguard paper
 * (Dadgar, Phillips, Currey 2018). {@link #defaults} uses the values of that paper, except for a shorter period.
 *
 * @param periodUs the probe period, in which one other member is pinged; at least 1 ms
 * @param pingFloorUs the shortest timeout of a direct ping, even if the measured round trips are shorter. A helper sends a nack after half
 *     of it. Must be shorter than the period
 * @param helpers the number of members that are asked for an indirect ping if a direct ping is not acknowledged (k)
 * @param tellings the number of times each piece of news is sent, to be multiplied by the decimal logarithm of the number of members
 *     rounded up (lambda)
 * @param spread the number of random members that get news in each period in addition to the pings
 * @param suspicionLeast the shortest suspicion timeout in periods, to be multiplied by that logarithm, not rounded and at least 1
 *     (alpha)
 * @param suspicionSpread the factor between the shortest timeout and the timeout of an unconfirmed suspicion (beta)
 * @param confirmations the number of confirmations by other members that gives a suspicion its shortest timeout (K)
 * @param healthWorst the highest local health score; each point lengthens the period and the ping timeout by their basic length (S)
 * @param syncUs the mean interval between exchanges of state with a random member
 * @param reachUs the mean interval between attempts to reach a dead member and a seed at whose address no member is known, which reunite
 *     the fleet after a network partition
 * @param joinUs the interval between attempts to reach seeds while no other member is known
 * @param gapUs a longer interval than this between two ticks means that the process was paused
 * @param forgetUs the time for which dead members and members that left are remembered
 * @param deadKept the limit of remembered dead members and members that left
 * @param livingKept the limit of other living members; beyond it no member is admitted
 */
public record MemberSettings(long periodUs, long pingFloorUs, int helpers, int tellings, int spread, int suspicionLeast,
        int suspicionSpread, int confirmations, int healthWorst, long syncUs, long reachUs, long joinUs, long gapUs, long forgetUs,
        int deadKept, int livingKept) {
    private static final long SECOND_US = 1_000_000;

    /** Checks the ranges of all components and throws an {@link IllegalArgumentException} that names the first one out of range. */
    public MemberSettings {
        checkRange("periodUs", periodUs, 1_000, 600 * SECOND_US);
        checkRange("pingFloorUs", pingFloorUs, 1, periodUs - 1);
        checkRange("helpers", helpers, 0, 16);
        checkRange("tellings", tellings, 1, 64);
        checkRange("spread", spread, 0, 16);
        checkRange("suspicionLeast", suspicionLeast, 1, 100);
        checkRange("suspicionSpread", suspicionSpread, 1, 100);
        checkRange("confirmations", confirmations, 0, 16);
        checkRange("healthWorst", healthWorst, 0, 64);
        checkRange("syncUs", syncUs, periodUs, Long.MAX_VALUE / 4);
        checkRange("reachUs", reachUs, periodUs, Long.MAX_VALUE / 4);
        checkRange("joinUs", joinUs, 1, Long.MAX_VALUE / 4);
        checkRange("gapUs", gapUs, 1, Long.MAX_VALUE / 4);
        checkRange("forgetUs", forgetUs, periodUs, Long.MAX_VALUE / 4);
        checkRange("deadKept", deadKept, 1, 100_000);
        checkRange("livingKept", livingKept, 1, 100_000);
    }

    /** Returns the settings of a fleet: a period of 500 ms, and at most 1,000 dead names that are remembered for an hour. */
    public static MemberSettings defaults() {
        return new MemberSettings(SECOND_US / 2, SECOND_US / 5, 3, 4, 3, 5, 6, 3, 8, 30 * SECOND_US, 15 * SECOND_US, SECOND_US, SECOND_US,
                3_600 * SECOND_US, 1_000, 1_000);
    }

    private static void checkRange(String component, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(component + " is " + value + ", but must be within " + min + " and " + max);
        }
    }
}
