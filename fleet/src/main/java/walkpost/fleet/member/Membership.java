package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import walkpost.fleet.StateMachine;
import walkpost.fleet.member.CounterTally.Counter;
import walkpost.fleet.member.MembershipCounters.Drop;

/**
 * Group membership and failure detection by SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", 2002) with Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
 * Detection", 2018). Exchanges of full state (anti-entropy) let members join and let the halves of a fleet find each other after a
 * network partition. Membership is open: any process that has the fleet's secret may join under any name.
 *
 * <p>This class owns the parts and passes the events on to them: {@link LocalMember} is this member, {@link MemberTable} holds the other
 * members, {@link UnverifiedMembers} those that must first send a message themselves. {@link MemberUpdates} changes their states,
 * {@link Suspicions} times the suspicions, and {@link GossipQueue} and {@link NewsComposer} select the news for each message.
 * {@link Prober} and {@link ProbeSchedule} ping the members in turn, {@link IndirectProbes} pings on behalf of others, and
 * {@link StateExchange} schedules the exchanges of state. {@link LocalHealth} and {@link RoundTrips} determine the timeouts.
 *
 * <p>Not thread-safe: the owner calls this class from one thread at a time.
 */
public final class Membership implements StateMachine<MemberEvent, MemberAction> {
    private static final long NEVER = Long.MIN_VALUE;
    private final MemberSettings settings;
    private final LocalMember self;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final GossipQueue gossip;
    private final LocalHealth health;
    private final RoundTrips roundTrips = new RoundTrips();
    private final CounterTally counters = new CounterTally();
    private final MemberUpdates updates;
    private final NewsComposer composer;
    private final Prober prober;
    private final StateExchange stateExchange;
    private long lastTickUs = NEVER;

    /**
     * Creates a member that knows no other member yet. It starts with its first event.
     *
     * @param self its name and an incarnation that no earlier life of this name had, such as the wall clock in milliseconds
     * @param address the address at which the other members reach it
     * @param seeds the members to contact in order to join; its own address may be among them
     * @param seed the seed of all random choices
     * @throws IllegalArgumentException if the name, the address or the incarnation is not valid in a message
     */
    public Membership(MemberSettings settings, Life self, Address address, List<Address> seeds, long seed) {
        this.settings = settings;
        this.self = new LocalMember(self, address);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Set<Address> otherSeeds = new LinkedHashSet<>(seeds);
        otherSeeds.remove(address);
        members = new MemberTable(settings);
        suspicions = new Suspicions(settings);
        gossip = new GossipQueue(settings.tellings());
        health = new LocalHealth(settings.healthWorst());
        UnverifiedMembers unverified = new UnverifiedMembers();
        ProbeSchedule schedule = new ProbeSchedule(random, members);
        composer = new NewsComposer(this.self, members, suspicions, gossip);
        updates = new MemberUpdates(this.self, members, schedule, suspicions, unverified, gossip, health, counters);
        IndirectProbes indirectProbes = new IndirectProbes(settings, this.self, composer, counters);
        prober = new Prober(settings, this.self, schedule, updates, composer, health, roundTrips, indirectProbes, counters, random);
        stateExchange = new StateExchange(settings, this.self, otherSeeds, members, schedule, unverified, composer, random);
    }

    @Override
    public void handle(long nowUs, MemberEvent event, Consumer<MemberAction> actions) {
        EventContext context = new EventContext(nowUs, actions);
        if (self.hasLeft()) {
            if (event instanceof MemberEvent.Received) {
                counters.drop(Drop.LEFT);
            }
            return;
        }
        checkClock(context);
        if (event instanceof MemberEvent.Received received) {
            handleMessage(context, received.message());
        } else if (event instanceof MemberEvent.Leave) {
            leave(context);
        } else {
            tick(context);
        }
    }

    /** Returns all known members, this member first. Dead members and members that left are included until they are forgotten. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>();
        all.add(self.member());
        all.addAll(members.all());
        return Collections.unmodifiableList(all);
    }

    /**
     * Returns the other living members, suspected members included, with an upper bound of their round-trip time in microseconds: the
     * smoothed mean plus four mean deviations, or the probe period if no round trip has been measured.
     */
    public Map<String, Long> roundTripBoundsUs() {
        return roundTripBoundsUs(Set.of());
    }

    /**
     * Returns the same as {@link #roundTripBoundsUs()} and, with the probe period as their bound, the known members among
     * {@code always} that are dead or have left. The caller contacts these members without waiting for news that they are back.
     */
    public Map<String, Long> roundTripBoundsUs(Set<String> always) {
        Map<String, Long> all = new LinkedHashMap<>();
        always.stream().filter(name -> members.get(name) != null).forEach(name -> all.put(name, settings.periodUs()));
        for (Member member : members.living()) {
            String name = member.life().name();
            all.put(name, roundTrips.boundUs(name, settings.periodUs()));
        }
        return Collections.unmodifiableMap(all);
    }

    /** Returns a snapshot of the counters. */
    public MembershipCounters counters() {
        return counters.snapshot(health.score());
    }

    /** Starts this member with its first event, and detects a pause of the process by a gap between ticks. */
    private void checkClock(EventContext context) {
        if (lastTickUs == NEVER) {
            prober.start(context.nowUs());
            stateExchange.start(context.nowUs());
            gossip.add(News.of(self.member(), self.name()));
            context.publishChange(self.member());
            lastTickUs = context.nowUs();
        } else if (context.nowUs() - lastTickUs > settings.gapUs()) {
            counters.count(Counter.STANDSTILLS);
            health.recordPause(context.nowUs() + suspicions.maxTimeoutUs(members.livingCount()));
            suspicions.restart(context.nowUs());
            prober.abandon(context.nowUs());
            lastTickUs = context.nowUs();
        }
    }

    private void tick(EventContext context) {
        lastTickUs = context.nowUs();
        prober.tick(context);
        updates.expireSuspicions(context);
        stateExchange.tick(context);
        members.forgetExpired(context.nowUs()).forEach(roundTrips::forget);
    }

    private void handleMessage(EventContext context, MemberMessage message) {
        Life sender = message.sender();
        if (!News.isWellFormed(sender, message.at())) {
            counters.drop(Drop.MALFORMED);
            return;
        }
        if (sender.incarnation() > News.MAX_INCARNATION) {
            counters.drop(Drop.INCARNATION);
            return;
        }
        if (message instanceof MemberMessage.Farewell) {
            applyNews(context, List.of(News.of(new Member(sender, message.at(), Standing.LEFT), sender.name())), false, message);
            return;
        }
        boolean senderCurrent = updates.recordSender(context, sender, message.at());
        boolean fromStateExchange = message instanceof MemberMessage.Sync;
        List<News> news = message.news();
        if (!senderCurrent && !news.isEmpty()) {
            news = news.stream().filter(item -> self.name().equals(item.name())).toList();
            counters.drop(Drop.OUTDONE);
        }
        applyNews(context, news, fromStateExchange, message);
        answer(context, message);
    }

    private void applyNews(EventContext context, List<News> all, boolean fromStateExchange, MemberMessage message) {
        boolean wasHeldDead = false;
        for (News news : all) {
            if (!news.isWellFormed()) {
                counters.drop(Drop.MALFORMED);
            } else if (news.incarnation() > News.MAX_INCARNATION) {
                counters.drop(Drop.INCARNATION);
            } else {
                wasHeldDead |= updates.applyNews(context, news, fromStateExchange, message.sender().name());
            }
        }
        if (wasHeldDead) {
            stateExchange.scheduleExchange(message.at());
        }
    }

    private void answer(EventContext context, MemberMessage message) {
        Life sender = message.sender();
        if (message instanceof MemberMessage.Ping ping) {
            if (self.name().equals(ping.to())) {
                context.sendDatagram(ping.at(), new MemberMessage.Ack(ping.seq(), self.name(), self.life(), self.address(),
                        composer.piggybackFor(sender.name(), sender)));
            } else {
                counters.drop(Drop.MISDIRECTED);
            }
        } else if (message instanceof MemberMessage.PingRequest request) {
            prober.startIndirectProbe(context, request);
        } else if (message instanceof MemberMessage.Ack ack) {
            prober.handleAck(context, ack);
        } else if (message instanceof MemberMessage.Nack nack) {
            prober.handleNack(nack);
        } else if (message instanceof MemberMessage.Sync sync && !sync.answer()) {
            context.sendOverConnection(sync.at(), new MemberMessage.Sync(true, self.life(), self.address(),
                    composer.fullState(Digest.requestedBuckets(sync.buckets())), sync.buckets()));
        } else if (message instanceof MemberMessage.Check offer) {
            stateExchange.answerDigests(context, offer);
        }
    }

    private void leave(EventContext context) {
        self.leave();
        stateExchange.leave(context);
        context.publishChange(self.member());
    }
}
