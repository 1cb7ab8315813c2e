package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.Map;
import walkpost.fleet.member.MembershipFigures.Drop;

/**
 * Pings on others' behalf. Whoever asked is told of the acknowledgement when it comes, and, before its period is over, that there is
 * none yet: so it knows that it is heard itself (Lifeguard's nack). Owned by one {@link Membership}.
 */
final class Relays {
    private static final int MOST = 256;
    private static final int PERIODS_KEPT = 4;

    /** An asker's wish, on its way. */
    private static final class Relay {
        private final String asker;
        private final Address askerAt;
        private final long askerSeq;
        private final String target;
        private final long sinceUs;
        private boolean nacked;

        Relay(MemberMessage.PingRequest request, long nowUs) {
            asker = request.sender().name();
            askerAt = request.at();
            askerSeq = request.seq();
            target = request.target();
            sinceUs = nowUs;
        }
    }

    private final Map<Long, Relay> underWay = new LinkedHashMap<>();
    private final MemberSettings settings;
    private final Identity self;
    private final Post post;
    private final Tally tally;

    Relays(MemberSettings settings, Identity self, Post post, Tally tally) {
        this.settings = settings;
        this.self = self;
        this.post = post;
        this.tally = tally;
    }

    /** Pings for one that asks, with a number of this member's own. */
    void start(Turn turn, long seq, MemberMessage.PingRequest request) {
        if (!News.wellFormed(new Life(request.target(), 0), request.where())) {
            tally.drop(Drop.MALFORMED);
        } else if (underWay.size() >= MOST) {
            tally.drop(Drop.FULL);
        } else {
            underWay.put(seq, new Relay(request, turn.nowUs()));
            turn.datagram(request.where(),
                    new MemberMessage.Ping(seq, request.target(), self.life(), self.at(), post.riding(request.target(), null)));
        }
    }

    /** Passes an acknowledgement on; returns whether it was one to a ping of these. */
    boolean acknowledged(Turn turn, MemberMessage.Ack ack) {
        Relay relay = underWay.get(ack.seq());
        if (relay == null || !relay.target.equals(ack.sender().name())) {
            return false;
        }
        underWay.remove(ack.seq());
        turn.datagram(relay.askerAt,
                new MemberMessage.Ack(relay.askerSeq, relay.target, self.life(), self.at(), post.riding(relay.asker, null)));
        return true;
    }

    void tick(Turn turn) {
        underWay.values().removeIf(r -> turn.nowUs() - r.sinceUs >= PERIODS_KEPT * settings.periodUs());
        for (Relay relay : underWay.values()) {
            if (!relay.nacked && turn.nowUs() - relay.sinceUs >= settings.pingFloorUs() / 2) {
                relay.nacked = true;
                turn.datagram(relay.askerAt,
                        new MemberMessage.Nack(relay.askerSeq, self.life(), self.at(), post.riding(relay.asker, null)));
            }
        }
    }
}
