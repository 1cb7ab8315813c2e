package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The suspicions that run. One lasts long while a single member has it, and shortens with each other that comes to it by itself
 * (Lifeguard, section IV.B): {@code max - (max - min) * log(c + 1) / log(k + 1)}. Owned by one {@link Membership}.
 */
final class Suspicions {
    private static final class Suspicion {
        private final Set<String> accusers = new LinkedHashSet<>();
        private final int needed;
        private final long leastUs;
        private final long mostUs;
        private long startUs;

        Suspicion(String by, int members, MemberSettings settings, long nowUs) {
            accusers.add(by);
            needed = Math.max(0, Math.min(settings.confirmations(), members - 2));
            leastUs = Suspicions.leastUs(settings, members);
            mostUs = leastUs * settings.suspicionSpread();
            startUs = nowUs;
        }

        long untilUs() {
            if (needed == 0) {
                return startUs + leastUs;
            }
            double shared = Math.log(accusers.size()) / Math.log(needed + 1.0);
            return startUs + Math.max(leastUs, mostUs - (long) ((mostUs - leastUs) * shared));
        }
    }

    private final Map<String, Suspicion> running = new LinkedHashMap<>();
    private final MemberSettings settings;

    Suspicions(MemberSettings settings) {
        this.settings = settings;
    }

    private static long leastUs(MemberSettings settings, int members) {
        return (long) (settings.suspicionLeast() * settings.periodUs() * Math.max(1, Math.log10(members)));
    }

    /** Returns how long a suspicion that nobody shares lasts among so many. */
    long longestUs(int members) {
        return leastUs(settings, members) * settings.suspicionSpread();
    }

    void start(String name, String by, int members, long nowUs) {
        running.put(name, new Suspicion(by == null ? "" : by, members, settings, nowUs));
    }

    /** Another member says the same; returns whether that is new and shortens it, so that it is worth telling on. */
    boolean confirm(String name, String by) {
        Suspicion suspicion = running.get(name);
        return suspicion != null && by != null && suspicion.accusers.size() <= suspicion.needed && suspicion.accusers.add(by);
    }

    /** Returns who suspected it first, or null. */
    String firstAccuser(String name) {
        Suspicion suspicion = running.get(name);
        return suspicion == null ? null : suspicion.accusers.iterator().next();
    }

    void end(String name) {
        running.remove(name);
    }

    /** Returns the names whose time to refute is over. */
    List<String> expired(long nowUs) {
        List<String> names = new ArrayList<>();
        running.forEach((name, suspicion) -> {
            if (nowUs >= suspicion.untilUs()) {
                names.add(name);
            }
        });
        return names;
    }

    /** This process stood still and may have missed refutations: all start anew, shared by nobody. */
    void restart(long nowUs) {
        for (Suspicion suspicion : running.values()) {
            suspicion.startUs = nowUs;
            String first = suspicion.accusers.iterator().next();
            suspicion.accusers.retainAll(Set.of(first));
        }
    }
}
