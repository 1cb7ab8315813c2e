package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.Map;
import walkpost.fleet.member.MembershipCounters.Drop;

/**
 * Pings that this member sends on behalf of others. The requester gets the acknowledgement when it arrives. If there is none yet after a
 * part of the requester's period, it gets a nack (Lifeguard), which shows it that its own messages are received. Owned by one
 * {@link Membership}; not thread-safe.
 */
final class IndirectProbes {
    private static final int MAX_PENDING = 256;
    private static final int KEPT_PERIODS = 4;

    /** A ping request whose target has not yet acknowledged. */
    private static final class IndirectProbe {
        private final String requester;
        private final Address requesterAddress;
        private final long requesterSeq;
        private final String target;
        private final long startUs;
        private boolean nacked;

        IndirectProbe(MemberMessage.PingRequest request, long nowUs) {
            requester = request.sender().name();
            requesterAddress = request.at();
            requesterSeq = request.seq();
            target = request.target();
            startUs = nowUs;
        }
    }

    private final Map<Long, IndirectProbe> pendingBySeq = new LinkedHashMap<>();
    private final MemberSettings settings;
    private final LocalMember self;
    private final NewsComposer composer;
    private final CounterTally counters;

    IndirectProbes(MemberSettings settings, LocalMember self, NewsComposer composer, CounterTally counters) {
        this.settings = settings;
        this.self = self;
        this.composer = composer;
        this.counters = counters;
    }

    /** Pings the target of a request under {@code seq}, a sequence number of this member. */
    void start(EventContext context, long seq, MemberMessage.PingRequest request) {
        if (!News.isWellFormed(new Life(request.target(), 0), request.where())) {
            counters.drop(Drop.MALFORMED);
        } else if (pendingBySeq.size() >= MAX_PENDING) {
            counters.drop(Drop.FULL);
        } else {
            pendingBySeq.put(seq, new IndirectProbe(request, context.nowUs()));
            context.sendDatagram(request.where(), new MemberMessage.Ping(seq, request.target(), self.life(), self.address(),
                    composer.piggybackFor(request.target(), null)));
        }
    }

    /** Forwards an acknowledgement to the requester. Returns whether it belongs to one of these pings. */
    boolean forwardAck(EventContext context, MemberMessage.Ack ack) {
        IndirectProbe probe = pendingBySeq.get(ack.seq());
        if (probe == null || !probe.target.equals(ack.sender().name())) {
            return false;
        }
        pendingBySeq.remove(ack.seq());
        context.sendDatagram(probe.requesterAddress, new MemberMessage.Ack(probe.requesterSeq, probe.target, self.life(), self.address(),
                composer.piggybackFor(probe.requester, null)));
        return true;
    }

    void tick(EventContext context) {
        pendingBySeq.values().removeIf(probe -> context.nowUs() - probe.startUs >= KEPT_PERIODS * settings.periodUs());
        for (IndirectProbe probe : pendingBySeq.values()) {
            if (!probe.nacked && context.nowUs() - probe.startUs >= settings.pingFloorUs() / 2) {
                probe.nacked = true;
                context.sendDatagram(probe.requesterAddress, new MemberMessage.Nack(probe.requesterSeq, self.life(), self.address(),
                        composer.piggybackFor(probe.requester, null)));
            }
        }
    }
}
