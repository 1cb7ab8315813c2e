package walkpost.fleet.member;

/**
 * The times and numbers of the membership, in microseconds where they are times. The names in brackets are those of the Lifeguard
 * paper (Dadgar, Phillips, Currey 2018), whose values {@link #defaults} has but for the shorter period.
 *
 * @param periodUs one other member is pinged each period (1 ms or more)
 * @param pingFloorUs the least that a ping's acknowledgement is waited for, however short the measured round trips are: half of it is
 *     what a helper waits before it says that it has none. Under the period
 * @param helpers how many others ping for one that got no acknowledgement (k)
 * @param tellings each piece of news is told this often times the logarithm to 10 of the members, that rounded up (lambda)
 * @param spread how many random members are told each period what news there are, beside the pings
 * @param suspicionLeast periods, times that logarithm, that a suspicion lasts at the least (alpha)
 * @param suspicionSpread how many times longer it lasts while nobody shares it (beta)
 * @param confirmations how many others must share it for it to be at its shortest (K)
 * @param healthWorst up to how many steps a member trusts itself less; each adds a period's length to its waiting (S)
 * @param syncUs how often, about, all that is known is exchanged with a random member
 * @param reachUs how often, about, a dead member and a seed that nobody is known at are tried: what heals a cut
 * @param joinUs how often seeds are asked while nobody else is known
 * @param gapUs ticks further apart than that tell that the process stood still
 * @param forgetUs how long dead and left names are remembered
 * @param deadKept how many of them are remembered at the most
 * @param livingKept how many others are held to live at the most; more are not taken in
 */
public record MemberSettings(long periodUs, long pingFloorUs, int helpers, int tellings, int spread, int suspicionLeast,
        int suspicionSpread, int confirmations, int healthWorst, long syncUs, long reachUs, long joinUs, long gapUs, long forgetUs,
        int deadKept, int livingKept) {
    private static final long SECOND = 1_000_000;

    /** Throws {@link IllegalArgumentException} that names the part that is out of its range. */
    public MemberSettings {
        within("periodUs", periodUs, 1_000, 600 * SECOND);
        within("pingFloorUs", pingFloorUs, 1, periodUs - 1);
        within("helpers", helpers, 0, 16);
        within("tellings", tellings, 1, 64);
        within("spread", spread, 0, 16);
        within("suspicionLeast", suspicionLeast, 1, 100);
        within("suspicionSpread", suspicionSpread, 1, 100);
        within("confirmations", confirmations, 0, 16);
        within("healthWorst", healthWorst, 0, 64);
        within("syncUs", syncUs, periodUs, Long.MAX_VALUE / 4);
        within("reachUs", reachUs, periodUs, Long.MAX_VALUE / 4);
        within("joinUs", joinUs, 1, Long.MAX_VALUE / 4);
        within("gapUs", gapUs, 1, Long.MAX_VALUE / 4);
        within("forgetUs", forgetUs, periodUs, Long.MAX_VALUE / 4);
        within("deadKept", deadKept, 1, 100_000);
        within("livingKept", livingKept, 1, 100_000);
    }

    /** Returns what the fleet runs with: a member in 500 ms, dead names for an hour, 1,000 of them at the most. */
    public static MemberSettings defaults() {
        return new MemberSettings(SECOND / 2, SECOND / 5, 3, 4, 3, 5, 6, 3, 8, 30 * SECOND, 15 * SECOND, SECOND, SECOND, 3_600 * SECOND,
                1_000, 1_000);
    }

    private static void within(String part, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(part + " is " + value + ", not within " + least + " and " + most);
        }
    }
}
