package walkpost.fleet.member;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a {@link Membership} has counted since its start.
 *
 * @param pings of its own probes, those of helpers apart
 * @param acks its probes that were acknowledged, by the member itself or by way of a helper
 * @param nacks helpers that had no acknowledgement either
 * @param suspicions of others, its own and heard ones
 * @param refutations of what was said of itself
 * @param falseSuspicions suspicions, its own and heard ones, that the suspect refuted, or outlived by a restart
 * @param deaths others that came to be held for dead
 * @param leaves others that said good-bye
 * @param joins others that came, or came back
 * @param conflicts how often one name was met at two addresses at once: a process started twice, or moved before it was missed
 * @param standstills how often its process was found to have stood still
 * @param health how many steps it trusts itself less than usual, now (Lifeguard's local health multiplier, less one)
 * @param dropped messages and news that were not taken, by cause
 */
public record MembershipFigures(long pings, long acks, long nacks, long suspicions, long refutations, long falseSuspicions, long deaths,
        long leaves, long joins, long conflicts, long standstills, int health, Map<Drop, Long> dropped) {
    public MembershipFigures {
        dropped = Collections.unmodifiableMap(new TreeMap<>(dropped));
    }

    /** Why something was not taken. */
    public enum Drop {
        /** A field is missing, or longer than it may be. */
        MALFORMED,
        /** An incarnation so high that nobody could outdo it for long. */
        INCARNATION,
        /** A ping for another member: somebody knows an old address. */
        MISDIRECTED,
        /** An acknowledgement that nobody waits for any more. */
        LATE,
        /** More members, or pings on others' behalf, than are kept. */
        FULL,
        /** News from a sender that is held for dead, or is outdone by a later life. */
        OUTDONE,
        /** Came after this member had left. */
        LEFT
    }
}
