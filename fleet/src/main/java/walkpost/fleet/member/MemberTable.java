package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The other members by name. The state of a name only ever rises in one total order (incarnation, then standing, then address), so that
 * members that receive the same news in any order reach the same state.
 *
 * <p>Dead members and members that left are forgotten after a time, and beyond a number the oldest of them at once. The table keeps the
 * highest incarnation that it has forgotten. Gossip about an unknown name with an incarnation up to that one may be old news that arrive
 * late, so such a member is admitted only after it has sent a message itself. Owned by one {@link Membership}; not thread-safe.
 */
final class MemberTable {
    private static final Comparator<Member> PRECEDENCE = Comparator.<Member>comparingLong(member -> member.life().incarnation())
            .thenComparing(Member::standing).thenComparing(member -> member.address().toString());

    /** A dead member, or one that left, and the time at which it became so. */
    private record Departed(Member member, long sinceUs) { }

    private final Map<String, Member> living = new LinkedHashMap<>();
    /** In the order of departure: the first is the oldest. */
    private final Map<String, Departed> departed = new LinkedHashMap<>();
    private final MemberSettings settings;
    private long highestForgottenIncarnation = -1;

    MemberTable(MemberSettings settings) {
        this.settings = settings;
    }

    static boolean isLiving(Member member) {
        return member.standing() == Standing.ALIVE || member.standing() == Standing.SUSPECT;
    }

    /** Returns whether a claim about a name replaces the known state of that name. */
    static boolean supersedes(Member claim, Member known) {
        return PRECEDENCE.compare(claim, known) > 0;
    }

    /** Returns the member of this name, or null if it is unknown. */
    Member get(String name) {
        Member member = living.get(name);
        Departed departedMember = member == null ? departed.get(name) : null;
        return departedMember == null ? member : departedMember.member;
    }

    boolean isFull() {
        return living.size() >= settings.livingKept();
    }

    void put(Member member, long nowUs) {
        String name = member.life().name();
        if (isLiving(member)) {
            departed.remove(name);
            living.put(name, member);
        } else {
            living.remove(name);
            departed.remove(name);
            departed.put(name, new Departed(member, nowUs));
        }
    }

    /** Returns whether gossip about an unknown name may be old news of a forgotten member. */
    boolean mayBeStale(Life life) {
        return life.incarnation() <= highestForgottenIncarnation;
    }

    /** Removes the departed members that are too old or too many, and returns their names. */
    List<String> forgetExpired(long nowUs) {
        List<String> forgotten = new ArrayList<>();
        var oldest = departed.entrySet().iterator();
        int excess = departed.size() - settings.deadKept();
        while (oldest.hasNext()) {
            var next = oldest.next();
            if (forgotten.size() >= excess && nowUs - next.getValue().sinceUs < settings.forgetUs()) {
                break;
            }
            highestForgottenIncarnation = Math.max(highestForgottenIncarnation, next.getValue().member.life().incarnation());
            forgotten.add(next.getKey());
            oldest.remove();
        }
        return forgotten;
    }

    /** Returns the members that are alive or suspected. */
    List<Member> living() {
        return List.copyOf(living.values());
    }

    /** Returns the number of living members, this member included. */
    int livingCount() {
        return living.size() + 1;
    }

    /** Returns the dead members, without those that left. */
    List<Member> dead() {
        return departed.values().stream().map(Departed::member).filter(member -> member.standing() == Standing.DEAD).toList();
    }

    /** Returns the living members, then the departed members. */
    List<Member> all() {
        return Stream.concat(living.values().stream(), departed.values().stream().map(Departed::member)).toList();
    }
}
