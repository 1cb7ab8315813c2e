package walkpost.fleet.member;

import java.util.EnumMap;
import java.util.Map;
import walkpost.fleet.member.MembershipCounters.Drop;

/** Accumulates the counters of {@link MembershipCounters}. Owned by one {@link Membership}; not thread-safe. */
final class CounterTally {
    /** The counted events, except for drops, which are counted by cause. */
    enum Counter { PINGS, ACKS, NACKS, SUSPICIONS, REFUTATIONS, FALSE_SUSPICIONS, DEATHS, LEAVES, JOINS, CONFLICTS, STANDSTILLS }

    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<Drop, Long> dropped = new EnumMap<>(Drop.class);

    void count(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    void drop(Drop cause) {
        dropped.merge(cause, 1L, Long::sum);
    }

    MembershipCounters snapshot(int healthScore) {
        return new MembershipCounters(countOf(Counter.PINGS), countOf(Counter.ACKS), countOf(Counter.NACKS), countOf(Counter.SUSPICIONS),
                countOf(Counter.REFUTATIONS), countOf(Counter.FALSE_SUSPICIONS), countOf(Counter.DEATHS), countOf(Counter.LEAVES),
                countOf(Counter.JOINS), countOf(Counter.CONFLICTS), countOf(Counter.STANDSTILLS), healthScore, dropped);
    }

    private long countOf(Counter counter) {
        return counts.getOrDefault(counter, 0L);
    }
}
