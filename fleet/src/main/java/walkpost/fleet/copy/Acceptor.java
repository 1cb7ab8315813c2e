package walkpost.fleet.copy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import walkpost.fleet.member.Life;

/**
 * The acceptor's side of orders (steps 1 and 2 in {@link ShardMessage}): owns the promises, each of which reserves a slot's next version
 * for one order for a limited time. A promise expires by this member's own clock, long after the coordinator's deadline for the round,
 * so that a late proposal or a late answer does no harm.
 */
final class Acceptor {
    private record Promise(Life issuer, long round, String id, long expiresAtUs) { }

    private final ShardSettings settings;
    private final CatchUpState catchUpState;
    private final SlotStore slotStore;
    private final Map<Order.Key, Promise> promises = new LinkedHashMap<>();

    Acceptor(ShardSettings settings, CatchUpState catchUpState, SlotStore slotStore) {
        this.settings = settings;
        this.catchUpState = catchUpState;
        this.slotStore = slotStore;
    }

    /** Returns the answer to a proposal, whose slot the caller has merged into this replica before. */
    ShardMessage answerProposal(long nowUs, ShardMessage.Propose proposal) {
        Order order = proposal.order();
        if (!catchUpState.isCaughtUp()) {
            return declined(proposal, ShardMessage.DeclineReason.NOT_LEVEL, "", null);
        }
        Slot slot = slotStore.slot(order.key());
        if (!new TreeSet<>(order.replaces()).equals(new TreeSet<>(SlotMerge.headIds(slot)))
                || order.version() != SlotMerge.nextVersion(slot)) {
            return declined(proposal, ShardMessage.DeclineReason.OVERTAKEN, SlotMerge.describe(slot),
                    last(SlotMerge.split(slot, order.id())));
        }
        if (order.payload() == null && !SlotMerge.isRemoved(slot) && slotStore.isRemovalMemoryFull()) {
            return declined(proposal, ShardMessage.DeclineReason.FULL, "", null);
        }
        Promise promise = unexpired(order.key(), nowUs);
        // A later round of the same coordinator shows that it has abandoned its earlier round.
        if (promise != null && !(promise.issuer().equals(order.issuer()) && promise.round() <= proposal.round())) {
            return declined(proposal, ShardMessage.DeclineReason.BUSY, promise.id(), null);
        }
        if (promise == null || promise.round() != proposal.round()) {
            promises.put(order.key(), new Promise(order.issuer(), proposal.round(), order.id(), nowUs + settings.promiseDurationUs()));
        }
        return new ShardMessage.Promised(proposal.round(), order.id());
    }

    /** Releases the promise for an order that is decided. */
    void releaseDecided(Order.Key key, String id) {
        Promise promise = promises.get(key);
        if (promise != null && promise.id().equals(id)) {
            promises.remove(key);
        }
    }

    /** Releases the promise for a round that its coordinator has abandoned, or for an earlier round of that coordinator. */
    void release(Order.Key key, String issuer, long incarnation, long round) {
        Promise promise = promises.get(key);
        if (promise != null && promise.issuer().equals(new Life(issuer, incarnation)) && promise.round() <= round) {
            promises.remove(key);
        }
    }

    /** Removes expired promises. */
    void expire(long nowUs) {
        promises.values().removeIf(promise -> promise.expiresAtUs() <= nowUs);
    }

    private Promise unexpired(Order.Key key, long nowUs) {
        Promise promise = promises.get(key);
        return promise != null && promise.expiresAtUs() > nowUs ? promise : null;
    }

    private static Slot last(List<Slot> parts) {
        return parts.get(parts.size() - 1);
    }

    private static ShardMessage declined(ShardMessage.Propose proposal, ShardMessage.DeclineReason reason, String other, Slot slot) {
        return new ShardMessage.Declined(proposal.round(), proposal.order().id(), reason, other, slot);
    }
}
