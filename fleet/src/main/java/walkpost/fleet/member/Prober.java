package walkpost.fleet.member;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import walkpost.fleet.member.CounterTally.Counter;
import walkpost.fleet.member.MembershipCounters.Drop;

/**
 * The failure detector. It pings one member per period, asks helpers to ping that member if no acknowledgement arrives in time, and
 * suspects the member if there is still none at the end of the period. The timeout and the period grow with the local health score.
 * Owned by one {@link Membership}; not thread-safe.
 */
final class Prober {
    /** The longest timeout of a direct ping as a fraction of the period. The helpers need the rest of the period. */
    private static final double MAX_DIRECT_TIMEOUT_FRACTION = 0.6;

    private static final class Probe {
        private final Member target;
        private final long seq;
        private final long sentUs;
        private final long timeoutUs;
        /** The number of helpers that were asked, or -1 before that. */
        private int helpers = -1;
        private int nacks;
        private boolean acked;

        Probe(Member target, long seq, long sentUs, long timeoutUs) {
            this.target = target;
            this.seq = seq;
            this.sentUs = sentUs;
            this.timeoutUs = timeoutUs;
        }
    }

    private final MemberSettings settings;
    private final LocalMember self;
    private final ProbeSchedule schedule;
    private final MemberUpdates updates;
    private final NewsComposer composer;
    private final LocalHealth health;
    private final RoundTrips roundTrips;
    private final IndirectProbes indirectProbes;
    private final CounterTally counters;
    private Probe probe;
    private long nextPeriodUs;
    private long seq;

    Prober(MemberSettings settings, LocalMember self, ProbeSchedule schedule, MemberUpdates updates, NewsComposer composer,
            LocalHealth health, RoundTrips roundTrips, IndirectProbes indirectProbes, CounterTally counters, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.schedule = schedule;
        this.updates = updates;
        this.composer = composer;
        this.health = health;
        this.roundTrips = roundTrips;
        this.indirectProbes = indirectProbes;
        this.counters = counters;
        // A random start keeps acknowledgements of pings from an earlier life at this address from matching.
        seq = 1 + random.nextInt(Integer.MAX_VALUE);
        nextPeriodUs = random.nextLong(settings.periodUs());
    }

    /** Schedules the first ping at a random time within a period, so that members that start together do not all ping at once. */
    void start(long nowUs) {
        nextPeriodUs += nowUs;
    }

    void tick(EventContext context) {
        indirectProbes.tick(context);
        if (probe != null && !probe.acked && probe.helpers < 0 && context.nowUs() >= probe.sentUs + probe.timeoutUs) {
            askHelpers(context);
        }
        if (context.nowUs() >= nextPeriodUs) {
            concludeProbe(context);
            beginProbe(context);
        }
    }

    /** Drops the current probe without suspecting its target, because this process was paused. */
    void abandon(long nowUs) {
        probe = null;
        nextPeriodUs = nowUs;
    }

    void startIndirectProbe(EventContext context, MemberMessage.PingRequest request) {
        indirectProbes.start(context, ++seq, request);
    }

    void handleAck(EventContext context, MemberMessage.Ack ack) {
        if (ack.seq() == UnverifiedMembers.UNTRACKED_SEQ || indirectProbes.forwardAck(context, ack)) {
            return;
        }
        if (probe == null || probe.seq != ack.seq() || !probe.target.life().name().equals(ack.of())) {
            counters.drop(Drop.LATE);
            return;
        }
        if (!probe.acked) {
            probe.acked = true;
            counters.count(Counter.ACKS);
            health.recordAck();
            if (ack.sender().name().equals(ack.of())) {
                roundTrips.record(ack.of(), context.nowUs() - probe.sentUs);
            }
        }
    }

    void handleNack(MemberMessage.Nack nack) {
        if (probe != null && probe.seq == nack.seq() && !probe.acked && probe.nacks < probe.helpers) {
            probe.nacks++;
            counters.count(Counter.NACKS);
        }
    }

    private void beginProbe(EventContext context) {
        nextPeriodUs = context.nowUs() + health.scaled(settings.periodUs());
        Member target = schedule.nextTarget();
        if (target == null) {
            probe = null;
            return;
        }
        String name = target.life().name();
        long maxTimeoutUs = (long) (MAX_DIRECT_TIMEOUT_FRACTION * settings.periodUs());
        long timeoutUs = Math.max(settings.pingFloorUs(), Math.min(maxTimeoutUs, roundTrips.boundUs(name, maxTimeoutUs)));
        probe = new Probe(target, ++seq, context.nowUs(), health.scaled(timeoutUs));
        counters.count(Counter.PINGS);
        context.sendDatagram(target.address(),
                new MemberMessage.Ping(seq, name, self.life(), self.address(), composer.piggybackFor(name, null)));
    }

    private void askHelpers(EventContext context) {
        String name = probe.target.life().name();
        List<Member> helpers = schedule.randomLiving(settings.helpers(), name);
        probe.helpers = helpers.size();
        for (Member helper : helpers) {
            context.sendDatagram(helper.address(), new MemberMessage.PingRequest(probe.seq, name, probe.target.address(), self.life(),
                    self.address(), composer.piggybackFor(helper.life().name(), null)));
        }
    }

    /**
     * Ends the current probe and suspects an unacknowledged target. Helpers that sent neither an ack nor a nack point to a fault of this
     * member rather than of its target, so that each of them degrades the local health.
     */
    private void concludeProbe(EventContext context) {
        if (probe == null || probe.acked) {
            return;
        }
        health.degrade(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
        if (!health.isInDoubt(context.nowUs())) {
            updates.suspect(context, probe.target.life());
        }
    }
}
