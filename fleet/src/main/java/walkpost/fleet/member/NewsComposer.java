package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Composes the news and digests that go into messages. Stateless apart from the parts that it reads. */
final class NewsComposer {
    private final LocalMember self;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final GossipQueue gossip;

    NewsComposer(LocalMember self, MemberTable members, Suspicions suspicions, GossipQueue gossip) {
        this.self = self;
        this.members = members;
        this.suspicions = suspicions;
        this.gossip = gossip;
    }

    /**
     * Returns the news to piggyback on a datagram. If the receiver is suspected, held for dead, or superseded by another life of its
     * name, then that news goes first, because the receiver can only refute a claim that it receives (Lifeguard's buddy system).
     *
     * @param seen the life in which the receiver has just sent a message, or null if it has not
     */
    List<News> piggybackFor(String receiver, Life seen) {
        Member known = members.get(receiver);
        boolean informReceiver = known != null
                && (known.standing() != Standing.ALIVE || seen != null && !seen.equals(known.life()));
        return gossip.take(informReceiver ? newsOf(known) : null, members.livingCount());
    }

    /** Returns news of all other members in the table, dead members and members that left included. */
    List<News> fullState() {
        List<News> all = new ArrayList<>();
        members.all().forEach(member -> all.add(newsOf(member)));
        return all;
    }

    /** Returns news of all other members in some buckets, dead members and members that left included. */
    List<News> fullState(BitSet buckets) {
        return members.all().stream().filter(member -> buckets.get(Digest.bucketOf(member.life().name()))).map(this::newsOf).toList();
    }

    /** Returns the digests of this member and of all other living members. */
    List<Integer> digests() {
        List<Member> all = new ArrayList<>(members.living());
        all.add(self.member());
        return Digest.of(all);
    }

    private News newsOf(Member member) {
        String firstAccuser = suspicions.firstAccuser(member.life().name());
        return News.of(member, firstAccuser == null ? self.name() : firstAccuser);
    }
}
