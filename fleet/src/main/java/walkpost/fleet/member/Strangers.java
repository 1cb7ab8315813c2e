package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Names that came by hearsay, and that may be long dead and forgotten (see {@link Roster}). Each is pinged a few times, and is taken in
 * when it speaks for itself. Owned by one {@link Membership}.
 */
final class Strangers {
    /** Pings that nobody waits for carry this. */
    static final long UNAWAITED = 0;
    private static final int TRIES = 4;
    private static final int MOST = 64;

    private record Stranger(Member member, int tries) { }

    private final Map<String, Stranger> names = new LinkedHashMap<>();

    void hear(Member member) {
        if (names.size() < MOST) {
            names.putIfAbsent(member.life().name(), new Stranger(member, 0));
        }
    }

    void met(String name) {
        names.remove(name);
    }

    /** Returns whom to ping now; each is returned a few times, and then no more until it is heard of again. */
    List<Member> due() {
        names.values().removeIf(s -> s.tries >= TRIES);
        names.replaceAll((name, s) -> new Stranger(s.member, s.tries + 1));
        return names.values().stream().map(Stranger::member).toList();
    }
}
