package walkpost.fleet.copy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import walkpost.fleet.member.Life;

/**
 * The holder's side of steps 1 and 2: owns for which order each slot's next version is kept, and until when. A promise ends by this
 * member's own clock, after its coordinator's by far; so it may be sent, and received, late.
 */
final class Promises {
    private record Promise(Life issuer, long round, String id, long untilUs) { }

    private final CopySettings settings;
    private final Touch touch;
    private final OrderBook book;
    private final Map<Order.Key, Promise> promises = new LinkedHashMap<>();

    Promises(CopySettings settings, Touch touch, OrderBook book) {
        this.settings = settings;
        this.touch = touch;
        this.book = book;
    }

    /** Answers a proposal, whose slot has been joined into this copy before. */
    CopyMessage answer(long nowUs, CopyMessage.Propose proposal) {
        Order order = proposal.order();
        if (!touch.level()) {
            return declined(proposal, CopyMessage.Reason.NOT_LEVEL, "", null);
        }
        Slot slot = book.slot(order.key());
        if (!new TreeSet<>(order.replaces()).equals(new TreeSet<>(SlotRule.ids(slot))) || order.version() != SlotRule.next(slot)) {
            return declined(proposal, CopyMessage.Reason.OVERTAKEN, SlotRule.words(slot), last(SlotRule.parts(slot, order.id())));
        }
        if (order.payload() == null && !SlotRule.removed(slot) && book.full()) {
            return declined(proposal, CopyMessage.Reason.FULL, "", null);
        }
        Promise kept = kept(order.key(), nowUs);
        // The same coordinator's later round tells that it has given up the one before.
        if (kept != null && !(kept.issuer().equals(order.issuer()) && kept.round() <= proposal.round())) {
            return declined(proposal, CopyMessage.Reason.BUSY, kept.id(), null);
        }
        if (kept == null || kept.round() != proposal.round()) {
            promises.put(order.key(), new Promise(order.issuer(), proposal.round(), order.id(), nowUs + settings.promiseUs()));
        }
        return new CopyMessage.Promised(proposal.round(), order.id());
    }

    /** An order is decided: its promise is over. */
    void decided(Order.Key key, String id) {
        Promise kept = promises.get(key);
        if (kept != null && kept.id().equals(id)) {
            promises.remove(key);
        }
    }

    /** A coordinator has given up a round: its promise is over. */
    void forget(Order.Key key, String issuer, long incarnation, long round) {
        Promise kept = promises.get(key);
        if (kept != null && kept.issuer().equals(new Life(issuer, incarnation)) && kept.round() <= round) {
            promises.remove(key);
        }
    }

    /** Drops promises that have run out. */
    void expire(long nowUs) {
        promises.values().removeIf(promise -> promise.untilUs() <= nowUs);
    }

    private Promise kept(Order.Key key, long nowUs) {
        Promise kept = promises.get(key);
        return kept != null && kept.untilUs() > nowUs ? kept : null;
    }

    private static Slot last(List<Slot> parts) {
        return parts.get(parts.size() - 1);
    }

    private static CopyMessage declined(CopyMessage.Propose proposal, CopyMessage.Reason why, String other, Slot slot) {
        return new CopyMessage.Declined(proposal.round(), proposal.order().id(), why, other, slot);
    }
}
