package walkpost.fleet.member;

import walkpost.fleet.member.CounterTally.Counter;
import walkpost.fleet.member.LocalMember.Reply;
import walkpost.fleet.member.MembershipCounters.Drop;

/**
 * Updates the state of the other members from their own messages, from news that third members send, from unacknowledged pings and from
 * suspicions that expire. Each change goes into the {@link MemberTable}, into the {@link GossipQueue} and out as a
 * {@link MemberAction.Changed}. Owned by one {@link Membership}; not thread-safe.
 */
final class MemberUpdates {
    private final LocalMember self;
    private final MemberTable members;
    private final ProbeSchedule schedule;
    private final Suspicions suspicions;
    private final UnverifiedMembers unverified;
    private final GossipQueue gossip;
    private final LocalHealth health;
    private final CounterTally counters;

    MemberUpdates(LocalMember self, MemberTable members, ProbeSchedule schedule, Suspicions suspicions, UnverifiedMembers unverified,
            GossipQueue gossip, LocalHealth health, CounterTally counters) {
        this.self = self;
        this.members = members;
        this.schedule = schedule;
        this.suspicions = suspicions;
        this.unverified = unverified;
        this.gossip = gossip;
        this.health = health;
        this.counters = counters;
    }

    /**
     * Records that a message from this sender has arrived. An unknown sender is admitted, and a higher incarnation supersedes the known
     * one. The message does not clear the sender of a suspicion, because a member that can send may still be unable to receive.
     *
     * @return whether the sender is held to be living with this incarnation and address; news of third members are accepted only from
     *     such a sender
     */
    boolean recordSender(EventContext context, Life sender, Address address) {
        String name = sender.name();
        if (name.equals(self.name())) {
            if (!address.equals(self.address())) {
                counters.count(Counter.CONFLICTS);
            }
            return false;
        }
        Member claim = new Member(sender, address, Standing.ALIVE);
        Member known = members.get(name);
        if (known == null) {
            admit(context, claim, null);
        } else {
            countConflict(claim, known);
            if (sender.incarnation() > known.life().incarnation()) {
                apply(context, known, claim, null);
            }
        }
        Member current = members.get(name);
        return current != null && MemberTable.isLiving(current) && current.life().equals(sender) && current.address().equals(address);
    }

    /**
     * Applies news that another member has sent. A state exchange may carry state from before a network partition, so that members that it
     * reports dead are only suspected here and can refute it. A death that arrives by gossip is applied at once, because its subject has
     * already had its time to refute.
     *
     * @param fromStateExchange whether the news come from a state exchange
     * @param sender the name of the member that has sent the news
     * @return whether the news reported this member itself dead and it has refuted them
     */
    boolean applyNews(EventContext context, News news, boolean fromStateExchange, String sender) {
        Member claim = news.member();
        String name = claim.life().name();
        if (name.equals(self.name())) {
            return applyNewsOfSelf(context, claim);
        }
        String reporter = news.by();
        Member known = members.get(name);
        if (known == null) {
            applyNewsOfUnknown(context, claim, reporter);
            return false;
        }
        countConflict(claim, known);
        if (fromStateExchange && claim.standing() == Standing.DEAD && MemberTable.isLiving(known)) {
            claim = new Member(claim.life(), claim.address(), Standing.SUSPECT);
            reporter = sender;
        }
        if (MemberTable.supersedes(claim, known)) {
            apply(context, known, claim, reporter);
        } else if (claim.equals(known) && known.standing() == Standing.SUSPECT && suspicions.confirm(name, reporter)) {
            gossip.add(News.of(known, reporter));
        }
        return false;
    }

    /** Suspects a member that has acknowledged neither a direct nor an indirect ping. */
    void suspect(EventContext context, Life life) {
        Member known = members.get(life.name());
        if (known != null && known.life().equals(life) && MemberTable.isLiving(known)) {
            applyNews(context, News.of(new Member(life, known.address(), Standing.SUSPECT), self.name()), false, self.name());
        }
    }

    /** Declares the members dead whose suspicions have expired, unless this member is in doubt after a pause of its process. */
    void expireSuspicions(EventContext context) {
        if (health.isInDoubt(context.nowUs())) {
            return;
        }
        for (String name : suspicions.expiredNames(context.nowUs())) {
            Member known = members.get(name);
            apply(context, known, new Member(known.life(), known.address(), Standing.DEAD), self.name());
        }
    }

    private boolean applyNewsOfSelf(EventContext context, Member claim) {
        Reply reply = self.respondTo(claim);
        if (reply == Reply.CONFLICT) {
            counters.count(Counter.CONFLICTS);
        }
        if (reply != Reply.REFUTE) {
            return false;
        }
        counters.count(Counter.REFUTATIONS);
        if (claim.standing() != Standing.ALIVE) {
            health.degrade(1);
        }
        gossip.add(News.of(self.member(), self.name()));
        context.publishChange(self.member());
        return claim.standing() == Standing.DEAD;
    }

    private void applyNewsOfUnknown(EventContext context, Member claim, String reporter) {
        if (!MemberTable.isLiving(claim)) {
            return;
        }
        if (members.mayBeStale(claim.life())) {
            unverified.add(claim);
        } else {
            admit(context, claim, reporter);
        }
    }

    private void admit(EventContext context, Member claim, String reporter) {
        if (members.isFull()) {
            counters.drop(Drop.FULL);
        } else {
            apply(context, null, claim, reporter);
        }
    }

    private void apply(EventContext context, Member known, Member claim, String reporter) {
        String name = claim.life().name();
        boolean wasLiving = known != null && MemberTable.isLiving(known);
        boolean wasSuspected = known != null && known.standing() == Standing.SUSPECT;
        if (!wasLiving && MemberTable.isLiving(claim)) {
            if (known != null && members.isFull()) {
                counters.drop(Drop.FULL);
                return;
            }
            counters.count(Counter.JOINS);
        }
        members.put(claim, context.nowUs());
        suspicions.end(name);
        if (!wasLiving && MemberTable.isLiving(claim)) {
            unverified.remove(name);
            schedule.add(name);
        }
        switch (claim.standing()) {
            case ALIVE -> {
                if (wasSuspected) {
                    counters.count(Counter.FALSE_SUSPICIONS);
                }
            }
            case SUSPECT -> {
                suspicions.start(name, reporter, members.livingCount(), context.nowUs());
                counters.count(Counter.SUSPICIONS);
            }
            case DEAD -> counters.count(Counter.DEATHS);
            case LEFT -> counters.count(Counter.LEAVES);
        }
        gossip.add(News.of(claim, reporter == null ? self.name() : reporter));
        context.publishChange(claim);
    }

    private void countConflict(Member claim, Member known) {
        if (claim.standing() == Standing.ALIVE && MemberTable.isLiving(known) && !claim.address().equals(known.address())) {
            counters.count(Counter.CONFLICTS);
        }
    }
}
