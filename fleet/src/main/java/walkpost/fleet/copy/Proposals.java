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
 * The coordinator's side of orders: owns those that operators have given to this member and that are not answered yet. Each round is
 * either decided before its deadline by this member's own clock, with a majority of promises in hand, or given up for good.
 */
final class Proposals {
    private static final long REPEAT_US = 200_000;

    /** An order on its way. Decided or not, each waits for the answers of a majority until its deadline. */
    private static final class Proposal {
        private final Order order;
        private final long round;
        private final boolean decided;
        private final long deadlineUs;
        private final TreeSet<String> yes = new TreeSet<>();
        private final Map<String, CopyMessage.Declined> no = new TreeMap<>();
        private long sentUs;

        private Proposal(Order order, long round, boolean decided, long nowUs, long deadlineUs) {
            this.order = order;
            this.round = round;
            this.decided = decided;
            this.deadlineUs = deadlineUs;
            this.sentUs = nowUs;
        }
    }

    private final CopySettings settings;
    private final Life self;
    private final Neighbours neighbours;
    private final Touch touch;
    private final OrderBook book;
    private final Promises promises;
    private final Figures figures;
    private final Map<String, Proposal> proposals = new LinkedHashMap<>();
    private long rounds;

    Proposals(CopySettings settings, Life self, Neighbours neighbours, Touch touch, OrderBook book, Promises promises, Figures figures) {
        this.settings = settings;
        this.self = self;
        this.neighbours = neighbours;
        this.touch = touch;
        this.book = book;
        this.promises = promises;
        this.figures = figures;
        // An answer to a former life is none to this one.
        this.rounds = Shards.hash(self.toString()) >>> 16;
    }

    /** Takes an operator's order. */
    void propose(long nowUs, CopyEvent.Propose call, Outbox out) {
        Slot slot = book.slot(call.key());
        Proposal running = proposals.get(call.id());
        try {
            check(call, slot, running == null ? SlotRule.head(slot, call.id()) : running.order);
            if (running != null) {
                return;
            }
            if (!touch.level()) {
                throw notLevel();
            }
            Order known = SlotRule.head(slot, call.id());
            if (known != null) {
                hold(nowUs, known, nowUs + settings.answerUs(), out);
                return;
            }
            Order order = make(call, slot);
            for (Proposal other : proposals.values()) {
                if (!other.decided && other.order.key().equals(call.key())) {
                    throw new FleetException.Busy(call.id(), other.order.id());
                }
            }
            start(nowUs, order, slot, out);
        } catch (FleetException e) {
            out.tell(new CopyAction.Refused(call.id(), e));
            figures.count("orders.refused");
        }
    }

    /** A holder has promised, or confirmed that it holds, an order. */
    void yes(long nowUs, String from, long round, String id, boolean held, Outbox out) {
        Proposal proposal = current(round, id);
        if (proposal != null && proposal.decided == held && neighbours.isConfigured(from)) {
            proposal.yes.add(from);
            advance(nowUs, proposal, out);
        }
    }

    /** A holder makes no promise. What it knows and this copy did not has been joined before. */
    void no(String from, CopyMessage.Declined declined) {
        Proposal proposal = current(declined.round(), declined.id());
        if (proposal != null && neighbours.isConfigured(from)) {
            proposal.no.put(from, declined);
        }
    }

    /** Looks after each order: deadlines first, before anything else that happens at this time. */
    void expire(long nowUs, Outbox out) {
        for (Proposal proposal : List.copyOf(proposals.values())) {
            if (nowUs > proposal.deadlineUs) {
                fail(proposal, outOfTime(proposal), out);
            }
        }
    }

    /** Gives up what can't be decided any more, as others said no, the slot changed, or touch is lost; asks again who is silent. */
    void review(long nowUs, Outbox out) {
        for (Proposal proposal : List.copyOf(proposals.values())) {
            Slot slot = book.slot(proposal.order.key());
            Order known = SlotRule.head(slot, proposal.order.id());
            if (!proposal.decided && known != null && Objects.equals(known.payload(), proposal.order.payload())) {
                // It was decided in an earlier round or by another member, and this one has learnt of it.
                forget(proposal, out);
                hold(nowUs, known, proposal.deadlineUs + settings.answerUs(), out);
                continue;
            }
            if (!proposal.decided) {
                FleetException why = whyNot(proposal, slot);
                if (why != null) {
                    fail(proposal, why, out);
                    continue;
                }
            }
            if (nowUs - proposal.sentUs >= REPEAT_US) {
                proposal.sentUs = nowUs;
                neighbours.missing(proposal.yes).forEach(to -> send(proposal, to, out));
            }
        }
    }

    private void check(CopyEvent.Propose call, Slot slot, Order known) throws FleetException {
        String why = null;
        if (call.id() == null || call.id().isBlank() || Sizes.utf8(call.id()) > Sizes.ID) {
            why = "an order needs an id of 1 to " + Sizes.ID + " bytes";
        } else if (call.key().topic().isBlank() || Sizes.utf8(call.key().topic()) > Sizes.TOPIC) {
            why = "an order needs a topic of 1 to " + Sizes.TOPIC + " bytes";
        } else if (call.key().subject().isBlank() || Sizes.utf8(call.key().subject()) > Sizes.SUBJECT) {
            why = "an order needs a subject of 1 to " + Sizes.SUBJECT + " bytes";
        } else if (Sizes.utf8(call.payload()) > Sizes.PAYLOAD) {
            why = "an order's payload has " + Sizes.PAYLOAD + " bytes at most";
        } else if (call.payload() != null && call.payload().indexOf('\n') >= 0) {
            why = "an order's payload is one line of JSON";
        } else if (known != null && !(known.key().equals(call.key()) && Objects.equals(known.payload(), call.payload()))) {
            why = "the id " + call.id() + " belongs to another order";
        } else if (known == null && call.payload() == null && SlotRule.removed(slot) && !slot.replaced().containsKey(call.id())) {
            why = "nothing stands that could be taken back";
        } else if (SlotRule.next(slot) > FactBook.LIMIT) {
            why = "no version is left for this key";
        }
        if (why != null) {
            throw new FleetException.BadCall(why);
        }
    }

    private Order make(CopyEvent.Propose call, Slot slot) throws FleetException {
        List<String> stands = SlotRule.ids(slot);
        String replaces = call.replaces();
        boolean agrees = replaces == null
                || (replaces.isEmpty() ? SlotRule.removed(slot) : stands.equals(List.of(replaces)));
        if (!agrees || slot.replaced().containsKey(call.id())) {
            throw new FleetException.Overtaken(call.id(), SlotRule.words(slot));
        }
        if (call.payload() == null && book.full()) {
            throw full();
        }
        return new Order(call.key(), call.id(), SlotRule.next(slot), stands, call.payload(), SlotRule.acting(slot).payload(), self);
    }

    private void start(long nowUs, Order order, Slot slot, Outbox out) throws FleetException {
        Proposal proposal = new Proposal(order, ++rounds, false, nowUs, nowUs + settings.answerUs());
        CopyMessage own = promises.answer(nowUs, new CopyMessage.Propose(proposal.round, order, slot));
        if (own instanceof CopyMessage.Declined declined) {
            throw declined.why() == CopyMessage.Reason.BUSY ? new FleetException.Busy(order.id(), declined.other())
                    : new FleetException.Overtaken(order.id(), SlotRule.words(slot));
        }
        proposals.put(order.id(), proposal);
        if (neighbours.isConfigured(self.name())) {
            proposal.yes.add(self.name());
        }
        neighbours.others().forEach(to -> send(proposal, to, out));
        advance(nowUs, proposal, out);
    }

    /** Steps 3 and 5, once there is a majority of answers. Deadlines and touch were looked at earlier in the same event. */
    private void advance(long nowUs, Proposal proposal, Outbox out) {
        if (proposal.yes.size() < neighbours.majority()) {
            return;
        }
        if (proposal.decided) {
            proposals.remove(proposal.order.id());
            out.tell(new CopyAction.Acknowledged(proposal.order.id(), proposal.order));
            figures.count("orders.acknowledged");
        } else if (nowUs <= proposal.deadlineUs && whyNot(proposal, book.slot(proposal.order.key())) == null) {
            promises.decided(proposal.order.key(), proposal.order.id());
            book.decide(nowUs, proposal.order);
            figures.count("orders.decided");
            hold(nowUs, proposal.order, proposal.deadlineUs + settings.answerUs(), out);
        }
    }

    /** Step 4: the order stands here; all others are to hold it as well. */
    private void hold(long nowUs, Order order, long deadlineUs, Outbox out) {
        Proposal proposal = new Proposal(order, ++rounds, true, nowUs, deadlineUs);
        proposals.put(order.id(), proposal);
        if (neighbours.isConfigured(self.name())) {
            proposal.yes.add(self.name());
        }
        neighbours.everyone().forEach(to -> send(proposal, to, out));
        advance(nowUs, proposal, out);
    }

    private void send(Proposal proposal, String to, Outbox out) {
        if (to.equals(self.name())) {
            return;
        }
        String id = proposal.order.id();
        List<Slot> parts = SlotRule.parts(book.slot(proposal.order.key()), id);
        Slot last = parts.get(parts.size() - 1);
        parts.subList(0, parts.size() - 1).forEach(part ->
                out.send(to, new CopyMessage.Slots(0, List.of(new CopyMessage.Aged(part, 0)))));
        out.send(to, proposal.decided ? new CopyMessage.Hold(proposal.round, id, last)
                : new CopyMessage.Propose(proposal.round, proposal.order, last));
    }

    /** Returns why an order can't be decided any more, or null while it can. */
    private FleetException whyNot(Proposal proposal, Slot slot) {
        String id = proposal.order.id();
        if (!touch.level()) {
            return notLevel();
        }
        if (!new TreeSet<>(proposal.order.replaces()).equals(new TreeSet<>(SlotRule.ids(slot)))) {
            return new FleetException.Overtaken(id, SlotRule.words(slot));
        }
        Collection<CopyMessage.Declined> firm = new ArrayList<>(proposal.no.values());
        firm.removeIf(no -> no.why() != CopyMessage.Reason.BUSY && no.why() != CopyMessage.Reason.FULL);
        if (firm.size() <= neighbours.configuredSize() - neighbours.majority()) {
            return null;
        }
        return firm.stream().filter(no -> no.why() == CopyMessage.Reason.BUSY).findFirst()
                .<FleetException>map(busy -> new FleetException.Busy(id, busy.other())).orElseGet(this::full);
    }

    private FleetException outOfTime(Proposal proposal) {
        Collection<String> missing = neighbours.missing(proposal.yes);
        return proposal.decided ? new FleetException.Uncertain(proposal.order.id(), missing)
                : new FleetException.NoMajority(proposal.order.id(), proposal.yes.size(), neighbours.configuredSize(), missing);
    }

    private void fail(Proposal proposal, FleetException why, Outbox out) {
        proposals.remove(proposal.order.id());
        out.tell(new CopyAction.Refused(proposal.order.id(), why));
        figures.count(proposal.decided ? "orders.uncertain" : "orders.refused");
        if (!proposal.decided) {
            forget(proposal, out);
        }
    }

    private void forget(Proposal proposal, Outbox out) {
        promises.forget(proposal.order.key(), self.name(), self.incarnation(), proposal.round);
        CopyMessage forget = new CopyMessage.Forget(proposal.round, proposal.order.key(), self.incarnation());
        neighbours.others().forEach(to -> out.send(to, forget));
    }

    private Proposal current(long round, String id) {
        Proposal proposal = proposals.get(id);
        return proposal != null && proposal.round == round ? proposal : null;
    }

    private FleetException notLevel() {
        return new FleetException.NotLevel(self.name(), touch.compared(), neighbours.majority());
    }

    private FleetException full() {
        return new FleetException.Full("memory of removals in one shard", settings.removals());
    }
}
