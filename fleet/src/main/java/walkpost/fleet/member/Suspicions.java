package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The pending suspicions and their timeouts. The timeout is long while one member alone suspects another, and shortens with each further
 * member that confirms the suspicion (Lifeguard, section IV.B): {@code max - (max - min) * log(c + 1) / log(k + 1)}, where c is the
 * number of confirmations so far and k the number for the shortest timeout. Owned by one {@link Membership}; not thread-safe.
 */
final class Suspicions {
    private static final class Suspicion {
        private final Set<String> accusers = new LinkedHashSet<>();
        private final int neededConfirmations;
        private final long minTimeoutUs;
        private final long maxTimeoutUs;
        private long startUs;

        Suspicion(String accuser, int members, MemberSettings settings, long nowUs) {
            accusers.add(accuser);
            neededConfirmations = Math.max(0, Math.min(settings.confirmations(), members - 2));
            minTimeoutUs = Suspicions.minTimeoutUs(settings, members);
            maxTimeoutUs = minTimeoutUs * settings.suspicionSpread();
            startUs = nowUs;
        }

        long expiryUs() {
            if (neededConfirmations == 0) {
                return startUs + minTimeoutUs;
            }
            double confirmedShare = Math.log(accusers.size()) / Math.log(neededConfirmations + 1.0);
            return startUs + Math.max(minTimeoutUs, maxTimeoutUs - (long) ((maxTimeoutUs - minTimeoutUs) * confirmedShare));
        }
    }

    private final Map<String, Suspicion> byName = new LinkedHashMap<>();
    private final MemberSettings settings;

    Suspicions(MemberSettings settings) {
        this.settings = settings;
    }

    private static long minTimeoutUs(MemberSettings settings, int members) {
        return (long) (settings.suspicionLeast() * settings.periodUs() * Math.max(1, Math.log10(members)));
    }

    /** Returns the timeout of an unconfirmed suspicion in a fleet of this many members. */
    long maxTimeoutUs(int members) {
        return minTimeoutUs(settings, members) * settings.suspicionSpread();
    }

    void start(String name, String accuser, int members, long nowUs) {
        byName.put(name, new Suspicion(accuser == null ? "" : accuser, members, settings, nowUs));
    }

    /** Adds an accuser to a suspicion. Returns whether this shortens the timeout, so that the accusation is worth gossiping. */
    boolean confirm(String name, String accuser) {
        Suspicion suspicion = byName.get(name);
        return suspicion != null && accuser != null && suspicion.accusers.size() <= suspicion.neededConfirmations
                && suspicion.accusers.add(accuser);
    }

    /** Returns the first accuser of a member, or null if the member is not suspected. */
    String firstAccuser(String name) {
        Suspicion suspicion = byName.get(name);
        return suspicion == null ? null : suspicion.accusers.iterator().next();
    }

    void end(String name) {
        byName.remove(name);
    }

    /** Returns the names of the members that have not refuted their suspicion within its timeout. */
    List<String> expiredNames(long nowUs) {
        List<String> names = new ArrayList<>();
        byName.forEach((name, suspicion) -> {
            if (nowUs >= suspicion.expiryUs()) {
                names.add(name);
            }
        });
        return names;
    }

    /** Restarts all suspicions without confirmations, because this process was paused and may have missed refutations. */
    void restart(long nowUs) {
        for (Suspicion suspicion : byName.values()) {
            suspicion.startUs = nowUs;
            String first = suspicion.accusers.iterator().next();
            suspicion.accusers.retainAll(Set.of(first));
        }
    }
}
