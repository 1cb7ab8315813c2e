package walkpost.fleet.member;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import walkpost.fleet.member.MembershipFigures.Drop;
import walkpost.fleet.member.Tally.Of;

/**
 * The failure detector: one ping a period, helpers asked where it is not acknowledged in time, and a suspicion where that was in vain.
 * Both the waiting and the period grow as this member trusts itself less. Owned by one {@link Membership}.
 */
final class Prober {
    /** The longest wait for a direct acknowledgement, as a part of the period: the helpers need the rest. */
    private static final double DIRECT = 0.6;

    private static final class Probe {
        private final Member target;
        private final long seq;
        private final long sentUs;
        private final long waitUs;
        private int asked = -1;
        private int nacks;
        private boolean acked;

        Probe(Member target, long seq, long sentUs, long waitUs) {
            this.target = target;
            this.seq = seq;
            this.sentUs = sentUs;
            this.waitUs = waitUs;
        }
    }

    private final MemberSettings settings;
    private final Identity self;
    private final Rota rota;
    private final View view;
    private final Post post;
    private final LocalHealth health;
    private final RoundTrips trips;
    private final Relays relays;
    private final Tally tally;
    private Probe probe;
    private long nextUs;
    private long seq;

    Prober(MemberSettings settings, Identity self, Rota rota, View view, Post post, LocalHealth health, RoundTrips trips, Relays relays,
            Tally tally, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.rota = rota;
        this.view = view;
        this.post = post;
        this.health = health;
        this.trips = trips;
        this.relays = relays;
        this.tally = tally;
        // Numbers of a former life at this address must not fit.
        seq = 1 + random.nextInt(Integer.MAX_VALUE);
        nextUs = random.nextLong(settings.periodUs());
    }

    /** Sets the first period's end by the owner's clock: members that start together do not all ping at once. */
    void start(long nowUs) {
        nextUs += nowUs;
    }

    void tick(Turn turn) {
        relays.tick(turn);
        if (probe != null && !probe.acked && probe.asked < 0 && turn.nowUs() >= probe.sentUs + probe.waitUs) {
            askHelpers(turn);
        }
        if (turn.nowUs() >= nextUs) {
            conclude(turn);
            begin(turn);
        }
    }

    /** Gives the probe that is under way up without a verdict: this process stood still. */
    void abandon(long nowUs) {
        probe = null;
        nextUs = nowUs;
    }

    void asked(Turn turn, MemberMessage.PingRequest request) {
        relays.start(turn, ++seq, request);
    }

    void acknowledged(Turn turn, MemberMessage.Ack ack) {
        if (ack.seq() == Strangers.UNAWAITED || relays.acknowledged(turn, ack)) {
            return;
        }
        if (probe == null || probe.seq != ack.seq() || !probe.target.life().name().equals(ack.of())) {
            tally.drop(Drop.LATE);
            return;
        }
        if (!probe.acked) {
            probe.acked = true;
            tally.count(Of.ACKS);
            health.acknowledged();
            if (ack.sender().name().equals(ack.of())) {
                trips.measured(ack.of(), turn.nowUs() - probe.sentUs);
            }
        }
    }

    void notAcknowledged(MemberMessage.Nack nack) {
        if (probe != null && probe.seq == nack.seq() && !probe.acked && probe.nacks < probe.asked) {
            probe.nacks++;
            tally.count(Of.NACKS);
        }
    }

    private void begin(Turn turn) {
        nextUs = turn.nowUs() + health.scaled(settings.periodUs());
        Member target = rota.next();
        if (target == null) {
            probe = null;
            return;
        }
        String name = target.life().name();
        long longest = (long) (DIRECT * settings.periodUs());
        long waitUs = Math.max(settings.pingFloorUs(), Math.min(longest, trips.boundUs(name, longest)));
        probe = new Probe(target, ++seq, turn.nowUs(), health.scaled(waitUs));
        tally.count(Of.PINGS);
        turn.datagram(target.address(), new MemberMessage.Ping(seq, name, self.life(), self.at(), post.riding(name, null)));
    }

    private void askHelpers(Turn turn) {
        String name = probe.target.life().name();
        List<Member> helpers = rota.some(settings.helpers(), name);
        probe.asked = helpers.size();
        for (Member helper : helpers) {
            turn.datagram(helper.address(), new MemberMessage.PingRequest(probe.seq, name, probe.target.address(), self.life(), self.at(),
                    post.riding(helper.life().name(), null)));
        }
    }

    /** Helpers that said nothing, neither yes nor no, are this member's own trouble rather than its target's. */
    private void conclude(Turn turn) {
        if (probe == null || probe.acked) {
            return;
        }
        health.worse(probe.asked > 0 ? probe.asked - probe.nacks : 1);
        if (!health.inDoubt(turn.nowUs())) {
            view.suspect(turn, probe.target.life());
        }
    }
}
