package walkpost.fleet.member;

import java.util.EnumMap;
import java.util.Map;
import walkpost.fleet.member.MembershipFigures.Drop;

/** The counters behind {@link MembershipFigures}. Owned by one {@link Membership}. */
final class Tally {
    /** Everything that is counted, but for what was dropped. */
    enum Of { PINGS, ACKS, NACKS, SUSPICIONS, REFUTATIONS, FALSE_SUSPICIONS, DEATHS, LEAVES, JOINS, CONFLICTS, STANDSTILLS }

    private final Map<Of, Long> counts = new EnumMap<>(Of.class);
    private final Map<Drop, Long> dropped = new EnumMap<>(Drop.class);

    void count(Of what) {
        counts.merge(what, 1L, Long::sum);
    }

    void drop(Drop cause) {
        dropped.merge(cause, 1L, Long::sum);
    }

    MembershipFigures figures(int health) {
        return new MembershipFigures(of(Of.PINGS), of(Of.ACKS), of(Of.NACKS), of(Of.SUSPICIONS), of(Of.REFUTATIONS),
                of(Of.FALSE_SUSPICIONS), of(Of.DEATHS), of(Of.LEAVES), of(Of.JOINS), of(Of.CONFLICTS), of(Of.STANDSTILLS), health, dropped);
    }

    private long of(Of what) {
        return counts.getOrDefault(what, 0L);
    }
}
