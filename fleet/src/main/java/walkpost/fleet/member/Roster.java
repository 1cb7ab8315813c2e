package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What is held of the others, by name. What is known of a name only ever rises in one total order (incarnation, then standing, then
 * address), so that members that hear the same in any order hold the same.
 *
 * <p>Dead and left names are forgotten after a time and beyond a number. What stays of all of them is one figure, the floor: the highest
 * incarnation forgotten. A name that is not held and comes by hearsay with an incarnation up to the floor may be an old one told late;
 * it is not taken in before it has spoken for itself. Owned by one {@link Membership}.
 */
final class Roster {
    private static final Comparator<Member> RISING = Comparator.<Member>comparingLong(m -> m.life().incarnation())
            .thenComparing(Member::standing).thenComparing(m -> m.address().toString());

    private record Held(Member member, long sinceUs) { }

    private final Map<String, Member> living = new LinkedHashMap<>();
    /** In the order in which they came to be over: the first is the oldest. */
    private final Map<String, Held> over = new LinkedHashMap<>();
    private final MemberSettings settings;
    private long floor = -1;

    Roster(MemberSettings settings) {
        this.settings = settings;
    }

    static boolean lives(Member member) {
        return member.standing() == Standing.ALIVE || member.standing() == Standing.SUSPECT;
    }

    static boolean outdoes(Member news, Member held) {
        return RISING.compare(news, held) > 0;
    }

    /** Returns what is held of a name, or null. */
    Member get(String name) {
        Member member = living.get(name);
        Held held = member == null ? over.get(name) : null;
        return held == null ? member : held.member;
    }

    boolean full() {
        return living.size() >= settings.livingKept();
    }

    void put(Member member, long nowUs) {
        String name = member.life().name();
        if (lives(member)) {
            over.remove(name);
            living.put(name, member);
        } else {
            living.remove(name);
            over.remove(name);
            over.put(name, new Held(member, nowUs));
        }
    }

    /** Returns whether a name that is not held may be told of late. */
    boolean mayBeOld(Life life) {
        return life.incarnation() <= floor;
    }

    /** Forgets whom it is time to forget, and returns their names. */
    List<String> forget(long nowUs) {
        List<String> forgotten = new ArrayList<>();
        var oldest = over.entrySet().iterator();
        int excess = over.size() - settings.deadKept();
        while (oldest.hasNext()) {
            var next = oldest.next();
            if (forgotten.size() >= excess && nowUs - next.getValue().sinceUs < settings.forgetUs()) {
                break;
            }
            floor = Math.max(floor, next.getValue().member.life().incarnation());
            forgotten.add(next.getKey());
            oldest.remove();
        }
        return forgotten;
    }

    /** Returns those that are alive or suspected. */
    List<Member> living() {
        return List.copyOf(living.values());
    }

    /** Returns how many live, this member included. */
    int size() {
        return living.size() + 1;
    }

    /** Returns those that are held for dead: who left is not among them. */
    List<Member> dead() {
        return over.values().stream().map(Held::member).filter(m -> m.standing() == Standing.DEAD).toList();
    }

    List<Member> all() {
        return Stream.concat(living.values().stream(), over.values().stream().map(Held::member)).toList();
    }
}
