package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Says what news go with a message. Holds no state of its own. */
final class Post {
    private final Identity self;
    private final Roster roster;
    private final Suspicions suspicions;
    private final Gossip gossip;

    Post(Identity self, Roster roster, Suspicions suspicions, Gossip gossip) {
        this.self = self;
        this.roster = roster;
        this.suspicions = suspicions;
        this.gossip = gossip;
    }

    /**
     * Returns what rides on a datagram. Whoever is suspected, held for dead, or outdone by a later life of its name is told so first:
     * it can't refute what it does not hear (Lifeguard's buddy system).
     *
     * @param seen the life that the receiver has just spoken in; null where it did not
     */
    List<News> riding(String to, Life seen) {
        Member held = roster.get(to);
        boolean tell = held != null && (held.standing() != Standing.ALIVE || seen != null && !seen.equals(held.life()));
        return gossip.take(tell ? told(held) : null, roster.size());
    }

    /** Returns all that is known, the dead and those who left included. */
    List<News> everything() {
        List<News> all = new ArrayList<>();
        roster.all().forEach(m -> all.add(told(m)));
        return all;
    }

    /** Returns all that is known of names in some buckets, the dead and those who left included. */
    List<News> everything(BitSet buckets) {
        return roster.all().stream().filter(m -> buckets.get(Digest.bucket(m.life().name()))).map(this::told).toList();
    }

    /** Returns the digests of this member and of all that it holds to live. */
    List<Integer> digests() {
        List<Member> all = new ArrayList<>(roster.living());
        all.add(self.member());
        return Digest.of(all);
    }

    private News told(Member member) {
        String first = suspicions.firstAccuser(member.life().name());
        return News.of(member, first == null ? self.name() : first);
    }
}
