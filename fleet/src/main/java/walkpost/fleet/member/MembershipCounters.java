package walkpost.fleet.member;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counters of a {@link Membership} since its start.
 *
 * @param pings pings of this member's own probes, without those that it sent on behalf of others
 * @param acks probes of this member that were acknowledged, directly or through a helper
 * @param nacks nacks that helpers sent during probes of this member
 * @param suspicions suspicions of other members, raised here or received
 * @param refutations claims about this member that it refuted
 * @param falseSuspicions suspicions, raised here or received, that ended because the suspect refuted them or restarted
 * @param deaths transitions of other members to dead
 * @param leaves other members that announced their departure
 * @param joins other members that joined or came back
 * @param conflicts detections of one name at two addresses at once, because a process was started twice or moved before it was missed
 * @param standstills detected pauses of this member's process
 * @param health the current local health score (Lifeguard's local health multiplier minus one)
 * @param dropped messages and news that were rejected, by cause
 */
public record MembershipCounters(long pings, long acks, long nacks, long suspicions, long refutations, long falseSuspicions, long deaths,
        long leaves, long joins, long conflicts, long standstills, int health, Map<Drop, Long> dropped) {
    public MembershipCounters {
        dropped = Collections.unmodifiableMap(new TreeMap<>(dropped));
    }

    /** The cause for which a message or news were rejected. */
    public enum Drop {
        /** A field is missing, too long or out of its range. */
        MALFORMED,
        /** The incarnation is so high that it could hardly be superseded any more. */
        INCARNATION,
        /** The ping was meant for another member: its sender knows an outdated address. */
        MISDIRECTED,
        /** The acknowledgement belongs to no pending ping. */
        LATE,
        /** The limit of members, or of pending pings on behalf of others, is reached. */
        FULL,
        /** The sender of the news is held for dead or is superseded by another life of its name. */
        OUTDONE,
        /** The message arrived after this member had left. */
        LEFT
    }
}
