package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Members known from gossip only that may be long dead and forgotten (see {@link MemberTable}). Each is pinged a few times and is admitted
 * when it sends a message itself. Owned by one {@link Membership}; not thread-safe.
 */
final class UnverifiedMembers {
    /** The sequence number of pings whose acknowledgements are not tracked. */
    static final long UNTRACKED_SEQ = 0;
    private static final int MAX_PINGS_PER_MEMBER = 4;
    private static final int MAX_MEMBERS = 64;

    private record UnverifiedMember(Member member, int pings) { }

    private final Map<String, UnverifiedMember> byName = new LinkedHashMap<>();

    void add(Member member) {
        if (byName.size() < MAX_MEMBERS) {
            byName.putIfAbsent(member.life().name(), new UnverifiedMember(member, 0));
        }
    }

    void remove(String name) {
        byName.remove(name);
    }

    /** Returns the members to ping now. A member that has had all its pings is dropped until gossip mentions it again. */
    List<Member> nextToPing() {
        byName.values().removeIf(unverified -> unverified.pings >= MAX_PINGS_PER_MEMBER);
        byName.replaceAll((name, unverified) -> new UnverifiedMember(unverified.member, unverified.pings + 1));
        return byName.values().stream().map(UnverifiedMember::member).toList();
    }
}
