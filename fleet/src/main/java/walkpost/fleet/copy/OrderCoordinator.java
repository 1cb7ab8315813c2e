package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import walkpost.fleet.FleetException;
import walkpost.fleet.member.Life;

/**
 * The coordinator's side of orders (steps 1 to 5 in {@link ShardMessage}): owns the orders that operators have given to this member and
 * that are not answered yet. With promises of a majority, a round is either decided before its deadline by this member's own clock, or
 * abandoned for good.
 */
final class OrderCoordinator {
    private static final long RESEND_INTERVAL_US = 200_000;

    /** An order under way. Until its deadline it waits for a majority: of promises before it is decided, of confirmations after. */
    private static final class Proposal {
        private final Order order;
        private final long round;
        private final boolean decided;
        private final long deadlineUs;
        private final TreeSet<String> confirmedBy = new TreeSet<>();
        private final Map<String, ShardMessage.Declined> declinedBy = new TreeMap<>();
        private long sentUs;

        private Proposal(Order order, long round, boolean decided, long nowUs, long deadlineUs) {
            this.order = order;
            this.round = round;
            this.decided = decided;
            this.deadlineUs = deadlineUs;
            this.sentUs = nowUs;
        }
    }

    private final ShardSettings settings;
    private final Life self;
    private final PeerSet peers;
    private final CatchUpState catchUpState;
    private final SlotStore slotStore;
    private final Acceptor acceptor;
    private final ShardCounters counters;
    private final Map<String, Proposal> proposals = new LinkedHashMap<>();
    private long lastRound;

    OrderCoordinator(ShardSettings settings, Life self, PeerSet peers, CatchUpState catchUpState, SlotStore slotStore, Acceptor acceptor,
            ShardCounters counters) {
        this.settings = settings;
        this.self = self;
        this.peers = peers;
        this.catchUpState = catchUpState;
        this.slotStore = slotStore;
        this.acceptor = acceptor;
        this.counters = counters;
        // Each life starts its rounds at another number, so that an answer to a former life is not taken for one to this life.
        this.lastRound = KeyHash.hash(self.toString()) >>> 16;
    }

    /** Starts an operator's order, or refuses it; an order that is known already is answered again. */
    void propose(long nowUs, ShardEvent.Propose call, Outbox out) {
        Slot slot = slotStore.slot(call.key());
        Proposal running = proposals.get(call.id());
        try {
            check(call, slot, running == null ? SlotMerge.findHead(slot, call.id()) : running.order);
            if (running != null) {
                return;
            }
            if (!catchUpState.isCaughtUp()) {
                throw notCaughtUp();
            }
            Order known = SlotMerge.findHead(slot, call.id());
            if (known != null) {
                commit(nowUs, known, nowUs + settings.answerTimeoutUs(), out);
                return;
            }
            Order order = create(call, slot);
            for (Proposal other : proposals.values()) {
                if (!other.decided && other.order.key().equals(call.key())) {
                    throw new FleetException.Busy(call.id(), other.order.id());
                }
            }
            start(nowUs, order, slot, out);
        } catch (FleetException e) {
            out.add(new ShardAction.Refused(call.id(), e));
            counters.increment("orders.refused");
        }
    }

    /**
     * Records that an acceptor has promised an order, or has confirmed that it stores the decided order.
     *
     * @param stored whether it confirms that the order is stored
     */
    void recordConfirmation(long nowUs, String from, long round, String id, boolean stored, Outbox out) {
        Proposal proposal = current(round, id);
        if (proposal != null && proposal.decided == stored && peers.isConfigured(from)) {
            proposal.confirmedBy.add(from);
            advance(nowUs, proposal, out);
        }
    }

    /** Records that an acceptor declined a proposal. The caller has merged the acceptor's slot into this replica before. */
    void recordDeclined(String from, ShardMessage.Declined declined) {
        Proposal proposal = current(declined.round(), declined.id());
        if (proposal != null && peers.isConfigured(from)) {
            proposal.declinedBy.put(from, declined);
        }
    }

    /** Fails the orders whose deadline has passed. The caller does this before anything else that happens at this time. */
    void failExpired(long nowUs, Outbox out) {
        for (Proposal proposal : List.copyOf(proposals.values())) {
            if (nowUs > proposal.deadlineUs) {
                fail(proposal, timeout(proposal), out);
            }
        }
    }

    /**
     * Abandons the proposals that can no longer be decided, because acceptors declined, the slot changed, or this member is no longer
     * caught up; sends the others again to the members that have not answered.
     */
    void review(long nowUs, Outbox out) {
        for (Proposal proposal : List.copyOf(proposals.values())) {
            Slot slot = slotStore.slot(proposal.order.key());
            Order known = SlotMerge.findHead(slot, proposal.order.id());
            if (!proposal.decided && known != null && Objects.equals(known.payload(), proposal.order.payload())) {
                // The order was decided in an earlier round or by another member, and this member has learnt of it since.
                releasePromises(proposal, out);
                commit(nowUs, known, proposal.deadlineUs + settings.answerTimeoutUs(), out);
                continue;
            }
            if (!proposal.decided) {
                FleetException failure = failure(proposal, slot);
                if (failure != null) {
                    fail(proposal, failure, out);
                    continue;
                }
            }
            if (nowUs - proposal.sentUs >= RESEND_INTERVAL_US) {
                proposal.sentUs = nowUs;
                peers.configuredExcept(proposal.confirmedBy).forEach(to -> send(proposal, to, out));
            }
        }
    }

    private void check(ShardEvent.Propose call, Slot slot, Order known) throws FleetException {
        String problem = null;
        if (call.id() == null || call.id().isBlank() || MessageSizes.utf8Length(call.id()) > MessageSizes.MAX_ORDER_ID_BYTES) {
            problem = "an order needs an id of 1 to " + MessageSizes.MAX_ORDER_ID_BYTES + " bytes";
        } else if (call.key().topic().isBlank() || MessageSizes.utf8Length(call.key().topic()) > MessageSizes.MAX_TOPIC_BYTES) {
            problem = "an order needs a topic of 1 to " + MessageSizes.MAX_TOPIC_BYTES + " bytes";
        } else if (call.key().subject().isBlank() || MessageSizes.utf8Length(call.key().subject()) > MessageSizes.MAX_SUBJECT_BYTES) {
            problem = "an order needs a subject of 1 to " + MessageSizes.MAX_SUBJECT_BYTES + " bytes";
        } else if (MessageSizes.utf8Length(call.payload()) > MessageSizes.MAX_ORDER_PAYLOAD_BYTES) {
            problem = "an order's payload has " + MessageSizes.MAX_ORDER_PAYLOAD_BYTES + " bytes at most";
        } else if (call.payload() != null && call.payload().indexOf('\n') >= 0) {
            problem = "an order's payload is one line of JSON";
        } else if (known != null && !(known.key().equals(call.key()) && Objects.equals(known.payload(), call.payload()))) {
            problem = "the id " + call.id() + " belongs to another order";
        } else if (known == null && call.payload() == null && SlotMerge.isRemoved(slot) && !slot.replaced().containsKey(call.id())) {
            problem = "nothing stands that could be taken back";
        } else if (SlotMerge.nextVersion(slot) > EntryStore.LIMIT) {
            problem = "no version is left for this key";
        }
        if (problem != null) {
            throw new FleetException.BadCall(problem);
        }
    }

    private Order create(ShardEvent.Propose call, Slot slot) throws FleetException {
        List<String> inForce = SlotMerge.headIds(slot);
        String replaces = call.replaces();
        boolean replacesWhatIsInForce = replaces == null
                || (replaces.isEmpty() ? SlotMerge.isRemoved(slot) : inForce.equals(List.of(replaces)));
        if (!replacesWhatIsInForce || slot.replaced().containsKey(call.id())) {
            throw new FleetException.Overtaken(call.id(), SlotMerge.describe(slot));
        }
        if (call.payload() == null && slotStore.isRemovalMemoryFull()) {
            throw removalMemoryFull();
        }
        return new Order(call.key(), call.id(), SlotMerge.nextVersion(slot), inForce, call.payload(),
                SlotMerge.effectiveOrder(slot).payload(), self);
    }

    /** Carries out step 1: proposes the order to all configured members, this one first. */
    private void start(long nowUs, Order order, Slot slot, Outbox out) throws FleetException {
        Proposal proposal = new Proposal(order, ++lastRound, false, nowUs, nowUs + settings.answerTimeoutUs());
        ShardMessage ownAnswer = acceptor.answerProposal(nowUs, new ShardMessage.Propose(proposal.round, order, slot));
        if (ownAnswer instanceof ShardMessage.Declined declined) {
            throw declined.why() == ShardMessage.DeclineReason.BUSY ? new FleetException.Busy(order.id(), declined.other())
                    : new FleetException.Overtaken(order.id(), SlotMerge.describe(slot));
        }
        proposals.put(order.id(), proposal);
        if (peers.isConfigured(self.name())) {
            proposal.confirmedBy.add(self.name());
        }
        peers.configuredOthers().forEach(to -> send(proposal, to, out));
        advance(nowUs, proposal, out);
    }

    /**
     * Carries out step 3 or 5 if a majority has answered. The same event has checked the deadline and whether this member is caught up
     * before.
     */
    private void advance(long nowUs, Proposal proposal, Outbox out) {
        if (proposal.confirmedBy.size() < peers.majority()) {
            return;
        }
        if (proposal.decided) {
            proposals.remove(proposal.order.id());
            out.add(new ShardAction.Acknowledged(proposal.order.id(), proposal.order));
            counters.increment("orders.acknowledged");
        } else if (nowUs <= proposal.deadlineUs && failure(proposal, slotStore.slot(proposal.order.key())) == null) {
            acceptor.releaseDecided(proposal.order.key(), proposal.order.id());
            slotStore.storeDecided(nowUs, proposal.order);
            counters.increment("orders.decided");
            commit(nowUs, proposal.order, proposal.deadlineUs + settings.answerTimeoutUs(), out);
        }
    }

    /** Carries out step 4: asks all other members to store an order that is decided and stored here. */
    private void commit(long nowUs, Order order, long deadlineUs, Outbox out) {
        Proposal proposal = new Proposal(order, ++lastRound, true, nowUs, deadlineUs);
        proposals.put(order.id(), proposal);
        if (peers.isConfigured(self.name())) {
            proposal.confirmedBy.add(self.name());
        }
        peers.aliveOrConfiguredOthers().forEach(to -> send(proposal, to, out));
        advance(nowUs, proposal, out);
    }

    private void send(Proposal proposal, String to, Outbox out) {
        if (to.equals(self.name())) {
            return;
        }
        String id = proposal.order.id();
        List<Slot> parts = SlotMerge.split(slotStore.slot(proposal.order.key()), id);
        Slot last = parts.get(parts.size() - 1);
        parts.subList(0, parts.size() - 1).forEach(part ->
                out.send(to, new ShardMessage.Slots(0, List.of(new ShardMessage.AgedSlot(part, 0)))));
        out.send(to, proposal.decided ? new ShardMessage.Commit(proposal.round, id, last)
                : new ShardMessage.Propose(proposal.round, proposal.order, last));
    }

    /** Returns the reason why an order can no longer be decided, or null if it still can. */
    private FleetException failure(Proposal proposal, Slot slot) {
        String id = proposal.order.id();
        if (!catchUpState.isCaughtUp()) {
            return notCaughtUp();
        }
        if (!new TreeSet<>(proposal.order.replaces()).equals(new TreeSet<>(SlotMerge.headIds(slot)))) {
            return new FleetException.Overtaken(id, SlotMerge.describe(slot));
        }
        Collection<ShardMessage.Declined> firmlyDeclined = new ArrayList<>(proposal.declinedBy.values());
        firmlyDeclined.removeIf(declined -> declined.why() != ShardMessage.DeclineReason.BUSY
                && declined.why() != ShardMessage.DeclineReason.FULL);
        if (firmlyDeclined.size() <= peers.configuredSize() - peers.majority()) {
            return null;
        }
        return firmlyDeclined.stream().filter(declined -> declined.why() == ShardMessage.DeclineReason.BUSY).findFirst()
                .<FleetException>map(busy -> new FleetException.Busy(id, busy.other())).orElseGet(this::removalMemoryFull);
    }

    private FleetException timeout(Proposal proposal) {
        Collection<String> missing = peers.configuredExcept(proposal.confirmedBy);
        return proposal.decided ? new FleetException.Uncertain(proposal.order.id(), missing)
                : new FleetException.NoMajority(proposal.order.id(), proposal.confirmedBy.size(), peers.configuredSize(), missing);
    }

    private void fail(Proposal proposal, FleetException failure, Outbox out) {
        proposals.remove(proposal.order.id());
        out.add(new ShardAction.Refused(proposal.order.id(), failure));
        counters.increment(proposal.decided ? "orders.uncertain" : "orders.refused");
        if (!proposal.decided) {
            releasePromises(proposal, out);
        }
    }

    private void releasePromises(Proposal proposal, Outbox out) {
        acceptor.release(proposal.order.key(), self.name(), self.incarnation(), proposal.round);
        ShardMessage release = new ShardMessage.ReleasePromise(proposal.round, proposal.order.key(), self.incarnation());
        peers.configuredOthers().forEach(to -> out.send(to, release));
    }

    private Proposal current(long round, String id) {
        Proposal proposal = proposals.get(id);
        return proposal != null && proposal.round == round ? proposal : null;
    }

    private FleetException notCaughtUp() {
        return new FleetException.NotLevel(self.name(), catchUpState.comparedCount(), peers.majority());
    }

    private FleetException removalMemoryFull() {
        return new FleetException.Full("memory of removals in one shard", settings.maxRemovedKeys());
    }
}
