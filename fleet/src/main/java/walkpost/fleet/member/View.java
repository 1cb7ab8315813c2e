package walkpost.fleet.member;

import walkpost.fleet.member.Identity.Reply;
import walkpost.fleet.member.MembershipFigures.Drop;
import walkpost.fleet.member.Tally.Of;

/**
 * How this member comes to hold what it holds of others: by what they say themselves, by what third ones say, by pings without an
 * answer, and by suspicions that run out. Every change goes into the roster, on with the gossip, and out as
 * {@link MemberAction.Changed}. Owned by one {@link Membership}.
 */
final class View {
    private final Identity self;
    private final Roster roster;
    private final Rota rota;
    private final Suspicions suspicions;
    private final Strangers strangers;
    private final Gossip gossip;
    private final LocalHealth health;
    private final Tally tally;

    View(Identity self, Roster roster, Rota rota, Suspicions suspicions, Strangers strangers, Gossip gossip, LocalHealth health,
            Tally tally) {
        this.self = self;
        this.roster = roster;
        this.rota = rota;
        this.suspicions = suspicions;
        this.strangers = strangers;
        this.gossip = gossip;
        this.health = health;
        this.tally = tally;
    }

    /**
     * Somebody has spoken for itself. That takes it in, or lets it outdo an earlier life of its own; it does not clear it of a
     * suspicion, since it may be heard and yet hear nobody.
     *
     * @return whether it is held to live, in this very life and at this address: only from such a sender are news of others taken
     */
    boolean meet(Turn turn, Life sender, Address at) {
        String name = sender.name();
        if (name.equals(self.name())) {
            if (!at.equals(self.at())) {
                tally.count(Of.CONFLICTS);
            }
            return false;
        }
        Member claim = new Member(sender, at, Standing.ALIVE);
        Member held = roster.get(name);
        if (held == null) {
            admit(turn, claim, null);
        } else {
            countConflict(claim, held);
            if (sender.incarnation() > held.life().incarnation()) {
                take(turn, held, claim, null);
            }
        }
        Member now = roster.get(name);
        return now != null && Roster.lives(now) && now.life().equals(sender) && now.address().equals(at);
    }

    /**
     * Takes what a third one says. A list may be as old as a cut of the network: the dead of a list are suspected only, so that they can
     * refute it; the dead of gossip have had their time for that.
     *
     * @param listed whether it comes from a list of all that the sender knows
     * @return whether it was of this member's own death, and has been refuted
     */
    boolean hear(Turn turn, News news, boolean listed, String teller) {
        Member claim = news.member();
        String name = claim.life().name();
        if (name.equals(self.name())) {
            return hearOfSelf(turn, claim);
        }
        String by = news.by();
        Member held = roster.get(name);
        if (held == null) {
            hearOfUnknown(turn, claim, by);
            return false;
        }
        countConflict(claim, held);
        if (listed && claim.standing() == Standing.DEAD && Roster.lives(held)) {
            claim = new Member(claim.life(), claim.address(), Standing.SUSPECT);
            by = teller;
        }
        if (Roster.outdoes(claim, held)) {
            take(turn, held, claim, by);
        } else if (claim.equals(held) && held.standing() == Standing.SUSPECT && suspicions.confirm(name, by)) {
            gossip.add(News.of(held, by));
        }
        return false;
    }

    /** One has answered neither this member nor its helpers. */
    void suspect(Turn turn, Life life) {
        Member held = roster.get(life.name());
        if (held != null && held.life().equals(life) && Roster.lives(held)) {
            hear(turn, News.of(new Member(life, held.address(), Standing.SUSPECT), self.name()), false, self.name());
        }
    }

    /** Holds those for dead whose time to refute is over; nobody while this member is in doubt itself. */
    void expire(Turn turn) {
        if (health.inDoubt(turn.nowUs())) {
            return;
        }
        for (String name : suspicions.expired(turn.nowUs())) {
            Member held = roster.get(name);
            take(turn, held, new Member(held.life(), held.address(), Standing.DEAD), self.name());
        }
    }

    private boolean hearOfSelf(Turn turn, Member claim) {
        Reply reply = self.hear(claim);
        if (reply == Reply.CONFLICT) {
            tally.count(Of.CONFLICTS);
        }
        if (reply != Reply.REFUTE) {
            return false;
        }
        tally.count(Of.REFUTATIONS);
        if (claim.standing() != Standing.ALIVE) {
            health.worse(1);
        }
        gossip.add(News.of(self.member(), self.name()));
        turn.changed(self.member());
        return claim.standing() == Standing.DEAD;
    }

    private void hearOfUnknown(Turn turn, Member claim, String by) {
        if (!Roster.lives(claim)) {
            return;
        }
        if (roster.mayBeOld(claim.life())) {
            strangers.hear(claim);
        } else {
            admit(turn, claim, by);
        }
    }

    private void admit(Turn turn, Member claim, String by) {
        if (roster.full()) {
            tally.drop(Drop.FULL);
        } else {
            take(turn, null, claim, by);
        }
    }

    private void take(Turn turn, Member held, Member claim, String by) {
        String name = claim.life().name();
        boolean lived = held != null && Roster.lives(held);
        boolean suspected = held != null && held.standing() == Standing.SUSPECT;
        if (!lived && Roster.lives(claim)) {
            if (held != null && roster.full()) {
                tally.drop(Drop.FULL);
                return;
            }
            tally.count(Of.JOINS);
        }
        roster.put(claim, turn.nowUs());
        suspicions.end(name);
        if (!lived && Roster.lives(claim)) {
            strangers.met(name);
            rota.add(name);
        }
        switch (claim.standing()) {
            case ALIVE -> {
                if (suspected) {
                    tally.count(Of.FALSE_SUSPICIONS);
                }
            }
            case SUSPECT -> {
                suspicions.start(name, by, roster.size(), turn.nowUs());
                tally.count(Of.SUSPICIONS);
            }
            case DEAD -> tally.count(Of.DEATHS);
            case LEFT -> tally.count(Of.LEAVES);
        }
        gossip.add(News.of(claim, by == null ? self.name() : by));
        turn.changed(claim);
    }

    private void countConflict(Member claim, Member held) {
        if (claim.standing() == Standing.ALIVE && Roster.lives(held) && !claim.address().equals(held.address())) {
            tally.count(Of.CONFLICTS);
        }
    }
}
