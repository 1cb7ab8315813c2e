package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Whom all that is known is exchanged with, and when: seeds while nobody else is known; a random member now and then; a dead member and
 * a seed that nobody is known at, so that two halves find each other after a cut of any length; and whoever held this member for dead.
 * Each period some are told the news as well. Owned by one {@link Membership}.
 */
final class Contacts {
    private static final int SEEDS_AT_ONCE = 2;
    private static final int SETTLING_PERIODS = 4;
    /** So few are told in two datagrams' worth. */
    private static final int SMALL = 32;
    /** More than these are a cut that has healed, or a start of many: then all hear of it from many, and mostly by gossip. */
    private static final int FEW_BUCKETS = Digest.BUCKETS / 8;
    private final MemberSettings settings;
    private final Identity self;
    private final Set<Address> seeds;
    private final Roster roster;
    private final Rota rota;
    private final Strangers strangers;
    private final Post post;
    private final UniformRandomProvider random;
    private Address owed;
    private long joinAtUs;
    private long syncAtUs;
    private long reachAtUs;
    private long periodAtUs;
    /** When much that differs may be told again. */
    private long muchAtUs = Long.MIN_VALUE;

    Contacts(MemberSettings settings, Identity self, Set<Address> seeds, Roster roster, Rota rota, Strangers strangers, Post post,
            UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.seeds = seeds;
        this.roster = roster;
        this.rota = rota;
        this.strangers = strangers;
        this.post = post;
        this.random = random;
    }

    void start(long nowUs) {
        joinAtUs = nowUs;
        periodAtUs = nowUs;
        // What came while this one was joining is fetched soon.
        syncAtUs = nowUs + about(Math.min(settings.syncUs(), SETTLING_PERIODS * settings.periodUs()));
        reachAtUs = nowUs + about(settings.reachUs());
    }

    /** This one thought that this member was dead: it is to hear everything, within a period. */
    void owe(Address address) {
        owed = address;
    }

    void tick(Turn turn) {
        if (turn.nowUs() >= periodAtUs) {
            periodAtUs = turn.nowUs() + settings.periodUs();
            eachPeriod(turn);
        }
        if (roster.size() == 1 && turn.nowUs() >= joinAtUs) {
            joinAtUs = turn.nowUs() + settings.joinUs();
            reach(turn, SEEDS_AT_ONCE);
        }
        if (turn.nowUs() >= syncAtUs) {
            syncAtUs = turn.nowUs() + about(settings.syncUs());
            rota.some(1, self.name()).forEach(m -> exchange(turn, m.address()));
        }
        if (turn.nowUs() >= reachAtUs) {
            reachAtUs = turn.nowUs() + about(settings.reachUs());
            reach(turn, 1);
        }
    }

    private void eachPeriod(Turn turn) {
        if (owed != null) {
            exchange(turn, owed);
            owed = null;
        }
        for (Member member : rota.some(settings.spread(), self.name())) {
            List<News> news = post.riding(member.life().name(), null);
            if (!news.isEmpty()) {
                turn.datagram(member.address(), new MemberMessage.Tell(self.life(), self.at(), news));
            }
        }
        for (Member member : strangers.due()) {
            String name = member.life().name();
            turn.datagram(member.address(),
                    new MemberMessage.Ping(Strangers.UNAWAITED, name, self.life(), self.at(), post.riding(name, null)));
        }
    }

    private void reach(Turn turn, int most) {
        Set<Address> known = roster.living().stream().map(Member::address).collect(Collectors.toSet());
        List<Address> lost = new ArrayList<>(seeds);
        lost.removeIf(known::contains);
        ListSampler.shuffle(random, lost);
        lost.subList(0, Math.min(most, lost.size())).forEach(seed -> exchange(turn, seed));
        List<Member> dead = roster.dead();
        if (!dead.isEmpty()) {
            exchange(turn, dead.get(random.nextInt(dead.size())).address());
        }
    }

    /** Tells all that is known where that is little; else asks first whether the other holds the same: a datagram, however much it is. */
    private void exchange(Turn turn, Address with) {
        if (roster.size() <= SMALL) {
            turn.large(with, new MemberMessage.Sync(false, self.life(), self.at(), post.everything()));
        } else {
            turn.datagram(with, new MemberMessage.Check(post.digests(), self.life(), self.at(), List.of()));
        }
    }

    /** Another holds these digests: what differs is told, and asked for in kind. Much at a time is told now and then only. */
    void checked(Turn turn, MemberMessage.Check check) {
        BitSet differing = Digest.differing(post.digests(), check.digests());
        if (differing.isEmpty()) {
            return;
        }
        if (differing.cardinality() > FEW_BUCKETS) {
            if (turn.nowUs() < muchAtUs) {
                return;
            }
            muchAtUs = turn.nowUs() + settings.syncUs() / 2;
        }
        turn.large(check.at(), new MemberMessage.Sync(false, self.life(), self.at(), post.everything(differing),
                differing.stream().boxed().toList()));
    }

    private long about(long us) {
        return us / 2 + random.nextLong(us);
    }
}
