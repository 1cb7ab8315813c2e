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
import walkpost.fleet.member.MembershipFigures.Drop;
import walkpost.fleet.member.Tally.Of;

/**
 * Who lives: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
 * with Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018), and
 * exchanges of everything, by which members join and halves heal. Membership is open: any name with the fleet's secret may come.
 *
 * <p>What the parts hold: {@link Identity} this member, {@link Roster} the others, {@link Suspicions} time to refute, {@link Gossip}
 * what is to be told, {@link Prober} the ping under way, {@link Relays} pings for others, {@link LocalHealth} trust in itself,
 * {@link RoundTrips}, {@link Contacts} the exchanges, {@link Strangers} who must speak for itself first. This class owns them all and
 * tells them what happens; its owner calls it from one thread at a time.
 */
public final class Membership implements StateMachine<MemberEvent, MemberAction> {
    private static final long NEVER = Long.MIN_VALUE;
    private final MemberSettings settings;
    private final Identity self;
    private final Roster roster;
    private final Suspicions suspicions;
    private final Gossip gossip;
    private final LocalHealth health;
    private final RoundTrips trips = new RoundTrips();
    private final Tally tally = new Tally();
    private final View view;
    private final Post post;
    private final Prober prober;
    private final Contacts contacts;
    private long tickedUs = NEVER;

    /**
     * Makes a member that knows of nobody yet; it starts with its first event.
     *
     * @param self its name, and an incarnation that no former life of that name had: the wall clock in ms does
     * @param at where the others reach it
     * @param seeds whom to ask first; its own address may be among them
     * @param seed of all random choices
     * @throws IllegalArgumentException if name, address or incarnation can't go into a message
     */
    public Membership(MemberSettings settings, Life self, Address at, List<Address> seeds, long seed) {
        this.settings = settings;
        this.self = new Identity(self, at);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Set<Address> others = new LinkedHashSet<>(seeds);
        others.remove(at);
        roster = new Roster(settings);
        suspicions = new Suspicions(settings);
        gossip = new Gossip(settings.tellings());
        health = new LocalHealth(settings.healthWorst());
        Strangers strangers = new Strangers();
        Rota rota = new Rota(random, roster);
        post = new Post(this.self, roster, suspicions, gossip);
        view = new View(this.self, roster, rota, suspicions, strangers, gossip, health, tally);
        Relays relays = new Relays(settings, this.self, post, tally);
        prober = new Prober(settings, this.self, rota, view, post, health, trips, relays, tally, random);
        contacts = new Contacts(settings, this.self, others, roster, rota, strangers, post, random);
    }

    @Override
    public void handle(long nowUs, MemberEvent event, Consumer<MemberAction> actions) {
        Turn turn = new Turn(nowUs, actions);
        if (self.hasLeft()) {
            if (event instanceof MemberEvent.Received) {
                tally.drop(Drop.LEFT);
            }
            return;
        }
        watchClock(turn);
        if (event instanceof MemberEvent.Received received) {
            received(turn, received.message());
        } else if (event instanceof MemberEvent.Leave) {
            leave(turn);
        } else {
            tick(turn);
        }
    }

    /** Returns what is held of everybody, this member first; the dead and those who left until they are forgotten. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>();
        all.add(self.member());
        all.addAll(roster.all());
        return Collections.unmodifiableList(all);
    }

    /**
     * Returns the others that live (the suspected among them) with their measured round trips in microseconds, as upper bounds: the
     * smoothed mean and four mean deviations. Where none is measured it is the period.
     */
    public Map<String, Long> roundTripUs() {
        return roundTripUs(Set.of());
    }

    /**
     * Returns the same, and those of {@code always} besides that are held for dead or gone: what must not wait until this member has
     * heard that they are back is to be tried on them all the same.
     */
    public Map<String, Long> roundTripUs(Set<String> always) {
        Map<String, Long> all = new LinkedHashMap<>();
        always.stream().filter(name -> roster.get(name) != null).forEach(name -> all.put(name, settings.periodUs()));
        for (Member member : roster.living()) {
            String name = member.life().name();
            all.put(name, trips.boundUs(name, settings.periodUs()));
        }
        return Collections.unmodifiableMap(all);
    }

    /** Returns what has been counted so far. */
    public MembershipFigures figures() {
        return tally.figures(health.score());
    }

    private void watchClock(Turn turn) {
        if (tickedUs == NEVER) {
            prober.start(turn.nowUs());
            contacts.start(turn.nowUs());
            gossip.add(News.of(self.member(), self.name()));
            turn.changed(self.member());
            tickedUs = turn.nowUs();
        } else if (turn.nowUs() - tickedUs > settings.gapUs()) {
            tally.count(Of.STANDSTILLS);
            health.stoodStill(turn.nowUs() + suspicions.longestUs(roster.size()));
            suspicions.restart(turn.nowUs());
            prober.abandon(turn.nowUs());
            tickedUs = turn.nowUs();
        }
    }

    private void tick(Turn turn) {
        tickedUs = turn.nowUs();
        prober.tick(turn);
        view.expire(turn);
        contacts.tick(turn);
        roster.forget(turn.nowUs()).forEach(trips::forget);
    }

    private void received(Turn turn, MemberMessage message) {
        Life sender = message.sender();
        if (!News.wellFormed(sender, message.at())) {
            tally.drop(Drop.MALFORMED);
            return;
        }
        if (sender.incarnation() > News.HIGHEST) {
            tally.drop(Drop.INCARNATION);
            return;
        }
        if (message instanceof MemberMessage.Farewell) {
            hear(turn, List.of(News.of(new Member(sender, message.at(), Standing.LEFT), sender.name())), false, message);
            return;
        }
        boolean believed = view.meet(turn, sender, message.at());
        boolean listed = message instanceof MemberMessage.Sync;
        List<News> news = message.news();
        if (!believed && !news.isEmpty()) {
            news = news.stream().filter(n -> self.name().equals(n.name())).toList();
            tally.drop(Drop.OUTDONE);
        }
        hear(turn, news, listed, message);
        answer(turn, message);
    }

    private void hear(Turn turn, List<News> all, boolean listed, MemberMessage message) {
        boolean wasDead = false;
        for (News news : all) {
            if (!news.wellFormed()) {
                tally.drop(Drop.MALFORMED);
            } else if (news.incarnation() > News.HIGHEST) {
                tally.drop(Drop.INCARNATION);
            } else {
                wasDead |= view.hear(turn, news, listed, message.sender().name());
            }
        }
        if (wasDead) {
            contacts.owe(message.at());
        }
    }

    private void answer(Turn turn, MemberMessage message) {
        Life sender = message.sender();
        if (message instanceof MemberMessage.Ping ping) {
            if (self.name().equals(ping.to())) {
                turn.datagram(ping.at(),
                        new MemberMessage.Ack(ping.seq(), self.name(), self.life(), self.at(), post.riding(sender.name(), sender)));
            } else {
                tally.drop(Drop.MISDIRECTED);
            }
        } else if (message instanceof MemberMessage.PingRequest request) {
            prober.asked(turn, request);
        } else if (message instanceof MemberMessage.Ack ack) {
            prober.acknowledged(turn, ack);
        } else if (message instanceof MemberMessage.Nack nack) {
            prober.notAcknowledged(nack);
        } else if (message instanceof MemberMessage.Sync sync && !sync.answer()) {
            turn.large(sync.at(), new MemberMessage.Sync(true, self.life(), self.at(), post.everything(Digest.chosen(sync.buckets())),
                    sync.buckets()));
        } else if (message instanceof MemberMessage.Check check) {
            contacts.checked(turn, check);
        }
    }

    private void leave(Turn turn) {
        self.leave();
        contacts.leave(turn);
        turn.changed(self.member());
    }
}
