package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Schedules this member's exchanges of state (anti-entropy) and its gossip outside of pings.
 *
 * <ul>
 * <li>While it knows no other member, it exchanges state with seeds in order to join.
 * <li>It exchanges state with a random member from time to time.
 * <li>It tries a dead member and a seed at whose address it knows no living member, so that two halves of the fleet find each other after
 *     a network partition of any length.
 * <li>It exchanges state with a member that held it for dead.
 * <li>In each period it sends news to some random members and pings unverified members.
 * </ul>
 *
 * <p>Owned by one {@link Membership}; not thread-safe.
 */
final class StateExchange {
    private static final int MAX_SEEDS_PER_JOIN = 2;
    /** The first exchange with a random member comes after about this many periods at most. */
    private static final int SETTLING_PERIODS = 4;
    /** In a fleet of up to 32 members the full state takes two datagrams, and each member gets a departure message. */
    private static final int MAX_SMALL_FLEET = 32;
    /**
     * More differing buckets than these mean that a network partition has healed or that many members have started. Members then get the
     * news from many others, mostly by gossip, so that the exchange is rate-limited.
     */
    private static final int MAX_BUCKETS_UNLIMITED = Digest.BUCKETS / 8;
    private final MemberSettings settings;
    private final LocalMember self;
    private final Set<Address> seeds;
    private final MemberTable members;
    private final ProbeSchedule schedule;
    private final UnverifiedMembers unverified;
    private final NewsComposer composer;
    private final UniformRandomProvider random;
    private Address pendingExchange;
    private long nextJoinUs;
    private long nextSyncUs;
    private long nextReachUs;
    private long nextPeriodUs;
    /** The earliest time at which many differing buckets may be sent again. */
    private long nextLargeSyncUs = Long.MIN_VALUE;

    StateExchange(MemberSettings settings, LocalMember self, Set<Address> seeds, MemberTable members, ProbeSchedule schedule,
            UnverifiedMembers unverified, NewsComposer composer, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.seeds = seeds;
        this.members = members;
        this.schedule = schedule;
        this.unverified = unverified;
        this.composer = composer;
        this.random = random;
    }

    void start(long nowUs) {
        nextJoinUs = nowUs;
        nextPeriodUs = nowUs;
        // The first exchange comes early, to fetch the news that this member missed while it was joining.
        nextSyncUs = nowUs + jittered(Math.min(settings.syncUs(), SETTLING_PERIODS * settings.periodUs()));
        nextReachUs = nowUs + jittered(settings.reachUs());
    }

    /** Schedules an exchange, within a period, with a member that held this member for dead. */
    void scheduleExchange(Address address) {
        pendingExchange = address;
    }

    /**
     * Announces this member's departure: in a small fleet to all members, otherwise to some that gossip it to the others, so that a
     * restart does not cost a message for each member.
     */
    void leave(EventContext context) {
        List<Member> receivers = members.livingCount() <= MAX_SMALL_FLEET ? members.living()
                : schedule.randomLiving(MAX_SMALL_FLEET, self.name());
        receivers.forEach(member -> context.sendDatagram(member.address(),
                new MemberMessage.Farewell(self.life(), self.address(), List.of())));
    }

    void tick(EventContext context) {
        if (context.nowUs() >= nextPeriodUs) {
            nextPeriodUs = context.nowUs() + settings.periodUs();
            runPeriod(context);
        }
        if (members.livingCount() == 1 && context.nowUs() >= nextJoinUs) {
            nextJoinUs = context.nowUs() + settings.joinUs();
            contactUnreachable(context, MAX_SEEDS_PER_JOIN);
        }
        if (context.nowUs() >= nextSyncUs) {
            nextSyncUs = context.nowUs() + jittered(settings.syncUs());
            schedule.randomLiving(1, self.name()).forEach(member -> exchange(context, member.address()));
        }
        if (context.nowUs() >= nextReachUs) {
            nextReachUs = context.nowUs() + jittered(settings.reachUs());
            contactUnreachable(context, 1);
        }
    }

    private void runPeriod(EventContext context) {
        if (pendingExchange != null) {
            exchange(context, pendingExchange);
            pendingExchange = null;
        }
        for (Member member : schedule.randomLiving(settings.spread(), self.name())) {
            List<News> news = composer.piggybackFor(member.life().name(), null);
            if (!news.isEmpty()) {
                context.sendDatagram(member.address(), new MemberMessage.Tell(self.life(), self.address(), news));
            }
        }
        for (Member member : unverified.nextToPing()) {
            String name = member.life().name();
            context.sendDatagram(member.address(), new MemberMessage.Ping(UnverifiedMembers.UNTRACKED_SEQ, name, self.life(),
                    self.address(), composer.piggybackFor(name, null)));
        }
    }

    /** Starts exchanges with seeds at whose address no living member is known, and with one dead member. */
    private void contactUnreachable(EventContext context, int maxSeeds) {
        Set<Address> knownAddresses = members.living().stream().map(Member::address).collect(Collectors.toSet());
        List<Address> unknownSeeds = new ArrayList<>(seeds);
        unknownSeeds.removeIf(knownAddresses::contains);
        ListSampler.shuffle(random, unknownSeeds);
        unknownSeeds.subList(0, Math.min(maxSeeds, unknownSeeds.size())).forEach(seed -> exchange(context, seed));
        List<Member> dead = members.dead();
        if (!dead.isEmpty()) {
            exchange(context, dead.get(random.nextInt(dead.size())).address());
        }
    }

    /**
     * Starts an exchange of state. In a small fleet it sends the full state, otherwise only digests, which fit into a datagram in a
     * fleet of any size.
     */
    private void exchange(EventContext context, Address peer) {
        if (members.livingCount() <= MAX_SMALL_FLEET) {
            context.sendOverConnection(peer, new MemberMessage.Sync(false, self.life(), self.address(), composer.fullState()));
        } else {
            context.sendDatagram(peer, new MemberMessage.Check(composer.digests(), self.life(), self.address(), List.of()));
        }
    }

    /**
     * Compares received digests with this member's own. Sends the state of the buckets that differ, which asks the peer for its state
     * of the same buckets. If many buckets differ, it does so at most once in half an exchange interval.
     */
    void answerDigests(EventContext context, MemberMessage.Check offer) {
        BitSet differing = Digest.differingBuckets(composer.digests(), offer.digests());
        if (differing.isEmpty()) {
            return;
        }
        if (differing.cardinality() > MAX_BUCKETS_UNLIMITED) {
            if (context.nowUs() < nextLargeSyncUs) {
                return;
            }
            nextLargeSyncUs = context.nowUs() + settings.syncUs() / 2;
        }
        context.sendOverConnection(offer.at(), new MemberMessage.Sync(false, self.life(), self.address(), composer.fullState(differing),
                differing.stream().boxed().toList()));
    }

    /** Returns a random interval between half and one and a half times the given one. */
    private long jittered(long intervalUs) {
        return intervalUs / 2 + random.nextLong(intervalUs);
    }
}
