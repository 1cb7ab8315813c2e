package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.sim.Violation.Rule;

/**
 * Records the true history of a run, and checks what members emit and show against it. It shares no code with the merge rule: it decides
 * whether an order is kept by following which order replaced which, among the orders that it has seen decided.
 */
final class Oracle {
    /** The rate of the slowest monotonic clock. */
    private static final double MIN_CLOCK_RATE = 0.98;
    /** The time that an entry may wait at each hop without a higher age: in the queue of actions, and for a late tick. */
    private static final long MAX_HOP_WAIT_US = 200 * SimClock.MILLI_US;
    /** Members' states are checked at every eighth tick. */
    private static final long SAMPLE_INTERVAL_TICKS = 8;
    private static final long MAX_TICK_US = 60 * SimClock.MILLI_US;

    /** An operator's order, given once or several times. */
    static final class Call {
        final Order.Key key;
        final String id;
        final String replaces;
        final String payload;
        /** The processes that have not answered yet, once for each time that the order was given to them. */
        private final Deque<Node.Process> open = new ArrayDeque<>();
        private boolean uncertain;
        /** The time since which a majority holds the order, as far as the oracle knows; -1 if none does. */
        private long acknowledgedUs = -1;
        /** Whether a caller has received the acknowledgement. */
        private boolean confirmed;
        private String lastAnswer = "never answered";

        private Call(Order.Key key, String id, String replaces, String payload) {
            this.key = key;
            this.id = id;
            this.replaces = replaces;
            this.payload = payload;
        }

        private boolean isRefused() {
            return open.isEmpty() && !uncertain && !confirmed;
        }

        boolean acknowledgedBefore(long atUs) {
            return acknowledgedUs >= 0 && acknowledgedUs < atUs;
        }
    }

    /** The state that the oracle keeps about one replica: what it has reported and read so far. */
    static final class View {
        private boolean caughtUp;
        private boolean mustCatchUp;
        private long lastBehindUs;
        private long suspendedUntilUs;
        private int ticks;
        /** The time in transit by payload, summed over all hops. */
        private final Map<String, Long> transitUs = new HashMap<>();
        private final Set<String> heardFrom = new HashSet<>();
        private final Map<Order.Key, EffectiveOrder> effectiveOrders = new HashMap<>();
        private final Map<Entry.Key, Entry> freshEntries = new HashMap<>();
        private final Map<Order.Key, Set<String>> heads = new HashMap<>();
        private final Set<String> replaced = new HashSet<>();
        private final Map<Order.Key, Promise> promises = new HashMap<>();
    }

    /** A coordinator's round for an order. */
    private record Round(String coordinator, long number) { }

    private record Promise(String id, Round round, long atUs) { }

    private record Written(long atUs, String payload) { }

    private final SimulatedFleet fleet;
    private final boolean directories;
    private final Map<String, Call> calls = new TreeMap<>();
    /** The decided orders by id. An order that all members have forgotten may be decided again, and then replaces other orders. */
    private final Map<String, Set<Order>> decided = new HashMap<>();
    private final Map<String, Set<String>> replacedBy = new HashMap<>();
    private final Map<String, Set<String>> promisedBy = new HashMap<>();
    private final Map<String, Set<String>> holders = new HashMap<>();
    private final Map<String, Long> writtenAtUs = new HashMap<>();
    private final Map<Entry.Key, Written> lastWritten = new HashMap<>();
    private final Set<Round> abandonedRounds = new HashSet<>();
    private final Map<String, Long> lastKilledUs = new HashMap<>();
    private final Set<Call> probes = new HashSet<>();
    private final Map<Order, Long> proposedAtUs = new HashMap<>();
    final ObserverOracle observers;
    private long lastKillUs = -1;

    Oracle(SimulatedFleet fleet, boolean directories) {
        this.fleet = fleet;
        this.directories = directories;
        observers = new ObserverOracle(fleet, this);
    }

    Collection<Call> calls() {
        return calls.values();
    }

    /** Returns whether no voter has lost its orders in a kill. */
    boolean votersRemember() {
        return directories || lastKillUs < 0;
    }

    // Calls and faults.

    Call register(Order.Key key, String id, String replaces, String payload) {
        Call call = new Call(key, id, replaces, payload);
        calls.put(id, call);
        return call;
    }

    /** Records that an order is given to a member. */
    void recordCall(Node.Process process, Call call) {
        call.open.add(process);
        fleet.time.log("%s to %s: %s replaces %s payload %s", call.id, process.node().name, call.key, call.replaces, call.payload);
    }

    /** Records an order that must be acknowledged, because no fault is left. */
    void registerProbe(Call call) {
        probes.add(call);
    }

    /** Records that a member writes an entry. */
    void written(Node.Process process, String topic, String subject, String payload) {
        if (payload != null) {
            writtenAtUs.put(payload, fleet.time.nowUs());
        }
        lastWritten.put(new Entry.Key(topic, subject, process.node().name), new Written(fleet.time.nowUs(), payload));
    }

    /** Records the end of a process. Calls that it has not answered become uncertain. */
    void killed(Node node, Node.Process process) {
        if (node.holdsReplicas) {
            lastKillUs = fleet.time.nowUs();
        }
        lastKilledUs.put(node.name, fleet.time.nowUs());
        calls.values().stream().filter(call -> call.open.removeIf(open -> open == process)).forEach(call -> call.uncertain = true);
        process.replicas.forEach(replica -> observe(replica.machine.slots(), node, !directories));
        lastWritten.keySet().removeIf(key -> key.writer().equals(node.name));
    }

    /**
     * Records the suspension of a process. If it is too short for the process to notice it for certain, nothing changes. After a longer
     * one, the process has to catch up, and messages sent before its end do not count for that.
     */
    void suspended(Node.Process process, long durationUs) {
        if (durationUs * MIN_CLOCK_RATE > SimulatedFleet.SHARD_SETTINGS.maxClockStepUs() + MAX_TICK_US) {
            for (Node.ShardReplica replica : process.replicas) {
                replica.view.suspendedUntilUs = fleet.time.nowUs() + durationUs;
                replica.view.heardFrom.clear();
                replica.view.mustCatchUp |= replica.view.caughtUp;
            }
        }
    }

    /** Records that slots were written to disk. */
    void written(Node node, List<Slot> slots) {
        observe(slots, node, true);
    }

    /**
     * Checks the orders in slots that a node has shown.
     *
     * @param durable whether the node holds them durably, so that it counts towards a majority
     */
    private void observe(Collection<Slot> slots, Node node, boolean durable) {
        for (Slot slot : slots) {
            slot.heads().forEach(this::checkDecided);
            if (durable) {
                slot.heads().forEach(head -> holders.computeIfAbsent(head.id(), id -> new HashSet<>()).add(node.name));
                slot.replaced().keySet().forEach(replaced -> holders.computeIfAbsent(replaced, id -> new HashSet<>()).add(node.name));
            }
        }
    }

    /** Checks that an order that a member holds as decided was given, promised by a majority, and not refused. */
    void checkDecided(Order order) {
        if (decided.computeIfAbsent(order.id(), id -> new HashSet<>()).add(order)) {
            checkDecidedOnce(order);
            Set<String> promisers = promisedBy.getOrDefault(order.id(), Set.of());
            if (fleet.configured.stream().filter(promisers::contains).count() < fleet.majority()) {
                throw new Violation(Rule.DECIDED, order + " is decided, but promised by " + promisers + " only");
            }
            order.replaces().forEach(replaced -> replacedBy.computeIfAbsent(replaced, id -> new TreeSet<>()).add(order.id()));
        }
        Call call = calls.get(order.id());
        if (call == null) {
            throw new Violation(Rule.REFUSED, order + " was never given");
        }
        if (call.isRefused()) {
            throw new Violation(Rule.REFUSED, order + " is in force, but its caller got the answer: " + call.lastAnswer);
        }
        if (!call.key.equals(order.key()) || !Objects.equals(call.payload, order.payload())) {
            throw new Violation(Rule.REFUSED, order + " differs from the call, whose payload is: " + call.payload);
        }
    }

    /** Checks that an order that a majority holds is not decided again. */
    private void checkDecidedOnce(Order order) {
        Call call = calls.get(order.id());
        if (call != null && votersRemember() && call.acknowledgedBefore(proposedAtUs.getOrDefault(order, -1L))) {
            throw new Violation(Rule.ONCE, order + " is decided, but " + decided.get(order.id()) + " was acknowledged before");
        }
    }

    // Messages and actions of members.

    /** Records the arrival of a message. The transit time of its entries is recorded here, because members can only estimate it. */
    void arrived(Node.ShardReplica replica, Node.ShardReplica from, ShardMessage message, long sentUs) {
        if (message instanceof ShardMessage.Entries entries) {
            long hopUs = fleet.time.nowUs() - sentUs + MAX_HOP_WAIT_US;
            entries.facts().forEach(entry -> replica.view.transitUs.merge(entry.payload(),
                    from.view.transitUs.getOrDefault(entry.payload(), 0L) + hopUs, Math::max));
        }
    }

    /** Records that a replica is about to read a message. */
    void read(Node.ShardReplica replica, String from, long sentUs) {
        if (sentUs >= replica.view.suspendedUntilUs) {
            replica.view.heardFrom.add(from);
        }
    }

    /** Checks an action that a replica's state machine has emitted. */
    void emitted(Node.ShardReplica replica, ShardAction action) {
        View view = replica.view;
        String name = replica.owner.node().name;
        if (action instanceof ShardAction.CaughtUpChanged reported) {
            fleet.time.log("%s[%d] caught up: %s", name, replica.shard, reported.caughtUp());
            if (reported.caughtUp()) {
                view.heardFrom.add(name);
                long compared = fleet.configured.stream().filter(view.heardFrom::contains).count();
                if (compared < fleet.majority()) {
                    throw new Violation(Rule.LEVEL, name + " is caught up, but has heard only from " + view.heardFrom);
                }
            } else {
                view.lastBehindUs = fleet.time.nowUs();
                view.heardFrom.clear();
                view.mustCatchUp = false;
            }
            view.caughtUp = reported.caughtUp();
        } else if (action instanceof ShardAction.EffectiveOrderChanged reported) {
            fleet.time.log("%s[%d] acts on %s: %s", name, replica.shard, reported.key(), reported.order());
            checkCaughtUp(replica, action);
            if (reported.order().chosen() != null) {
                checkDecided(reported.order().chosen());
            }
            reported.order().rivals().forEach(this::checkDecided);
            view.effectiveOrders.put(reported.key(), reported.order());
        } else if (action instanceof ShardAction.EntryReceived reported) {
            if (reported.entry().payload() == null) {
                view.freshEntries.remove(reported.entry().key());
            } else {
                view.freshEntries.put(reported.entry().key(), reported.entry());
            }
        } else if (action instanceof ShardAction.EntryStale reported) {
            view.freshEntries.remove(reported.key());
        } else if (action instanceof ShardAction.Acknowledged reported) {
            checkHeld(reported.order());
        } else if (action instanceof ShardAction.Persist reported) {
            observe(reported.slots(), replica.owner.node(), !directories);
        } else if (action instanceof ShardAction.Send send) {
            sent(replica, send);
        }
    }

    private void checkCaughtUp(Node.ShardReplica replica, Object emitted) {
        if (!replica.view.caughtUp || replica.view.mustCatchUp) {
            throw new Violation(Rule.LEVEL, replica.owner.node().name + " has not caught up, but emits " + emitted);
        }
    }

    private void sent(Node.ShardReplica replica, ShardAction.Send send) {
        ShardMessage message = send.message();
        if (message instanceof ShardMessage.Propose proposal) {
            promisedBy.computeIfAbsent(proposal.order().id(), id -> new TreeSet<>()).add(replica.owner.node().name);
            proposedAtUs.putIfAbsent(proposal.order(), fleet.time.nowUs());
        } else if (message instanceof ShardMessage.Promised promised) {
            checkCaughtUp(replica, message);
            fleet.time.log("%s[%d] promises %s round %d", replica.owner.node().name, replica.shard, promised.id(), promised.round());
            promisedBy.computeIfAbsent(promised.id(), id -> new TreeSet<>()).add(replica.owner.node().name);
            long nowUs = fleet.time.nowUs();
            Order.Key key = calls.get(promised.id()).key;
            Promise promise = new Promise(promised.id(), new Round(send.to(), promised.round()), nowUs);
            Promise previous = replica.view.promises.get(key);
            if (previous == null || !previous.round.equals(promise.round)) {
                replica.view.promises.put(key, promise);
            }
            if (previous != null && !previous.id.equals(promised.id())
                    && (nowUs - previous.atUs) / MIN_CLOCK_RATE < SimulatedFleet.SHARD_SETTINGS.promiseDurationUs()
                    && !decided.containsKey(previous.id) && !abandonedRounds.contains(previous.round)) {
                throw new Violation(Rule.PROMISE, replica.owner.node().name + " promises " + key + " to both " + previous.id
                        + " and " + promised.id());
            }
        } else if (message instanceof ShardMessage.ReleasePromise release) {
            fleet.time.log("%s[%d] abandons round %d", replica.owner.node().name, replica.shard, release.round());
            abandonedRounds.add(new Round(replica.owner.node().name, release.round()));
        } else if (message instanceof ShardMessage.Committed) {
            checkCaughtUp(replica, message);
        }
    }

    /** Checks that a majority holds an acknowledged order. */
    void checkHeld(Order order) {
        if (!directories) {
            fleet.nodes.stream().filter(Node::alive).forEach(node -> node.process().replicas.forEach(
                    replica -> observe(replica.machine.slots(), node, true)));
        }
        Set<String> holding = holders.getOrDefault(order.id(), Set.of());
        if (fleet.configured.stream().filter(holding::contains).count() < fleet.majority()) {
            throw new Violation(Rule.KEPT, order + " is acknowledged, but held by " + holding + " only");
        }
    }

    /** Records a shard's answer to an order, which an operator has given to this process or an observer has forwarded to it. */
    void carriedOut(Node.ShardReplica replica, ShardAction action) {
        if (action instanceof ShardAction.Acknowledged reported) {
            acknowledged(replica.owner, reported.id(), reported.order());
        } else if (action instanceof ShardAction.Refused reported) {
            refused(replica.owner, reported.id(), reported.why());
        }
    }

    void acknowledged(Node.Process process, String id, Order order) {
        fleet.time.log("%s acknowledged at %s", order, process.node().name);
        Call call = calls.get(id);
        call.confirmed |= call.open.removeFirstOccurrence(process);
        call.acknowledgedUs = call.acknowledgedUs < 0 ? fleet.time.nowUs() : call.acknowledgedUs;
        checkDecided(order);
    }

    /** Records a refusal. Only the answer that the caller gets counts, because an observer may try another voter. */
    void refused(Node.Process process, String id, FleetException why) {
        fleet.time.log("%s refused at %s: %s", id, process.node().name, why.getMessage());
        Call call = calls.get(id);
        if (!call.open.removeFirstOccurrence(process)) {
            return;
        }
        call.lastAnswer = why.getMessage();
        call.uncertain |= why instanceof FleetException.Uncertain
                || why instanceof FleetException.FromVoter && why.getMessage().contains(" says Uncertain: ");
        if (call.isRefused() && decided.containsKey(call.id)) {
            decided.get(call.id).forEach(this::checkDecided);
        }
    }

    // The state of members.

    /** Checks the state that a process shows after a tick. */
    void ticked(Node.Process process) {
        if (process.observer != null) {
            observers.ticked(process.observer);
        }
        for (Node.ShardReplica replica : process.replicas) {
            if (replica.view.ticks++ % SAMPLE_INTERVAL_TICKS == 0) {
                checkEntries(replica);
                checkSlots(replica);
            }
        }
    }

    private void checkEntries(Node.ShardReplica replica) {
        for (Entry entry : replica.view.freshEntries.values()) {
            if (trueAgeUs(replica, entry) > SimulatedFleet.SHARD_SETTINGS.stalenessBoundUs(entry.key().topic()) + MAX_HOP_WAIT_US) {
                throw new Violation(Rule.AGE, replica.owner.node().name + " acts on " + entry + ", which is at least "
                        + trueAgeUs(replica, entry) + " us old");
            }
        }
        for (String topic : SimulatedFleet.ENTRY_TOPICS) {
            for (Entry entry : replica.machine.entries(topic, replica.owner.node().clockUs())) {
                if (trueAgeUs(replica, entry) > entry.ageUs()) {
                    throw new Violation(Rule.AGE, replica.owner.node().name + " reports " + entry + ", which is at least "
                            + trueAgeUs(replica, entry) + " us old");
                }
            }
        }
    }

    /** Returns the minimum age of an entry by any clock, without its time in transit, which members can only estimate. */
    private long trueAgeUs(Node.ShardReplica replica, Entry entry) {
        long nowUs = fleet.time.nowUs();
        return (long) ((nowUs - writtenAtUs.getOrDefault(entry.payload(), nowUs)
                - replica.view.transitUs.getOrDefault(entry.payload(), 0L)) * MIN_CLOCK_RATE);
    }

    private void checkSlots(Node.ShardReplica replica) {
        View view = replica.view;
        String name = replica.owner.node().name;
        Collection<Slot> slots = replica.machine.slots();
        Map<Order.Key, EffectiveOrder> effectiveOrders = replica.machine.effectiveOrders();
        observe(slots, replica.owner.node(), !directories);
        Map<Order.Key, Slot> byKey = new HashMap<>();
        for (Slot slot : slots) {
            byKey.put(slot.key(), slot);
            Set<String> heads = new HashSet<>();
            slot.heads().forEach(head -> heads.add(head.id()));
            Set<String> previous = view.heads.put(slot.key(), heads);
            if (previous != null) {
                previous.stream().filter(head -> !heads.contains(head)).forEach(view.replaced::add);
            }
            heads.stream().filter(view.replaced::contains).forEach(head -> {
                throw new Violation(Rule.OVER, head + " was replaced at " + name + " and is in force again");
            });
            if (view.caughtUp) {
                checkEffectiveOrder(name, slot.heads(), effectiveOrders.get(slot.key()), view.effectiveOrders.get(slot.key()));
            }
        }
        if (view.caughtUp && (directories || lastKillUs < 0)) {
            calls.values().stream().filter(call -> call.acknowledgedUs >= 0 && call.acknowledgedUs < view.lastBehindUs)
                    .filter(call -> fleet.shardOf(call.key.topic(), call.key.subject()) == replica.shard)
                    .forEach(call -> checkKept(name, call, byKey.get(call.key)));
        }
    }

    /** Checks that the order in effect follows from the heads of its slot, and equals the order that the member has reported. */
    static void checkEffectiveOrder(String name, List<Order> heads, EffectiveOrder order, EffectiveOrder reported) {
        if (heads.isEmpty()) {
            return;
        }
        Order chosen = heads.stream().max(Comparator.comparingLong(Order::version).thenComparing(Order::id)).orElseThrow();
        String payload = chosen.payload();
        if (heads.size() > 1) {
            payload = chosen.key().topic().equals("exclusion")
                    ? heads.stream().map(Order::payload).filter(Objects::nonNull).findFirst().orElse(null)
                    : heads.stream().min(Comparator.comparing(Order::id)).orElseThrow().before();
        }
        boolean correct = order != null && order.chosen().id().equals(chosen.id()) && order.rivals().size() == heads.size() - 1
                && (heads.size() > 1 && chosen.key().topic().equals("exclusion")
                        ? (payload == null) == (order.payload() == null) : Objects.equals(payload, order.payload()));
        if (!correct || !order.equals(reported)) {
            throw new Violation(Rule.ACTING, name + " acts on " + order + " and has reported " + reported + ", but in force are " + heads);
        }
    }

    private void checkKept(String name, Call call, Slot slot) {
        Set<String> heads = new HashSet<>();
        if (slot != null) {
            slot.heads().forEach(head -> heads.add(head.id()));
        }
        if (successors(call.id).stream().noneMatch(heads::contains)) {
            throw new Violation(Rule.KEPT, call.id + " was acknowledged, but is neither in force nor replaced at " + name + ": " + slot);
        }
    }

    /** Returns the id of an order and the ids of all orders that have replaced it, directly or indirectly. */
    Set<String> successors(String first) {
        Deque<String> open = new ArrayDeque<>(List.of(first));
        Set<String> seen = new HashSet<>();
        while (!open.isEmpty()) {
            String id = open.remove();
            if (seen.add(id)) {
                open.addAll(replacedBy.getOrDefault(id, Set.of()));
            }
        }
        return seen;
    }

    /** Returns whether one of these orders revokes the order before it. */
    boolean includesRemoval(Collection<String> ids) {
        return ids.stream().flatMap(id -> decided.getOrDefault(id, Set.of()).stream()).anyMatch(order -> order.payload() == null);
    }

    // The end of a run.

    /** Records the end of all faults. */
    void faultsEnded() {
        lastWritten.keySet().removeIf(key -> !alive(key.writer()));
    }

    private boolean alive(String name) {
        return fleet.nodes.stream().anyMatch(node -> node.name.equals(name) && node.alive());
    }

    /** Checks all living members some time after the last fault. */
    void checkSettled() {
        List<Node> living = fleet.nodes.stream().filter(Node::alive).toList();
        for (Node node : living) {
            Map<String, Member> known = new HashMap<>();
            node.process().membership.members().forEach(member -> known.put(member.life().name(), member));
            for (Node other : fleet.nodes) {
                Member member = known.get(other.name);
                if ((member != null && member.standing() == Standing.ALIVE) != other.alive()) {
                    throw new Violation(Rule.MEMBERS, node.name + " sees " + member + ", which is " + (other.alive() ? "alive" : "dead"));
                }
            }
            for (Node.ShardReplica replica : node.process().replicas) {
                if (!replica.machine.isCaughtUp()) {
                    throw new Violation(Rule.SERVES, node.name + " is not caught up though no fault is left");
                }
                checkConverged(node, replica, living.get(0).process().replicas.get(replica.shard));
            }
        }
    }

    private void checkConverged(Node node, Node.ShardReplica replica, Node.ShardReplica first) {
        Map<Order.Key, Slot> slots = slotsByKey(replica);
        if (!slots.equals(slotsByKey(first))) {
            throw new Violation(Rule.MEET, node.name + " has " + slots + ", but another member has " + slotsByKey(first));
        }
        Map<Entry.Key, String> entries = entriesByKey(replica);
        if (!entries.equals(entriesByKey(first))) {
            throw new Violation(Rule.MEET, node.name + " has " + entries + ", but another member has " + entriesByKey(first));
        }
        lastWritten.forEach((key, written) -> {
            if (fleet.shardOf(key.topic(), key.subject()) == replica.shard && written.payload != null && !key.writer().equals(node.name)
                    && !entries.getOrDefault(key, "").endsWith(written.payload) && !fleet.isFaultyWriter(key.writer())) {
                throw new Violation(Rule.MEET, node.name + " does not have " + key + " " + written + " but " + entries.get(key));
            }
        });
        boolean majorityRemembers = majorityRemembers();
        for (Call call : calls.values()) {
            if (call.acknowledgedUs >= 0 && fleet.shardOf(call.key.topic(), call.key.subject()) == replica.shard && majorityRemembers) {
                checkKept(node.name, call, slots.get(call.key));
                decided.get(call.id).stream().flatMap(order -> order.replaces().stream()).forEach(replaced -> {
                    if (slots.get(call.key).heads().stream().anyMatch(head -> head.id().equals(replaced))) {
                        throw new Violation(Rule.OVER, replaced + " is in force at " + node.name + " though " + call.id + " replaced it");
                    }
                });
            }
        }
    }

    /** Returns whether a majority of the voters has kept its orders: none of them was ever killed, or all have directories. */
    boolean majorityRemembers() {
        return directories || fleet.nodes.stream().filter(each -> each.alive()
                && fleet.configured.contains(each.name) && lastKilledUs.getOrDefault(each.name, -1L) < 0).count() >= fleet.majority();
    }

    private static Map<Order.Key, Slot> slotsByKey(Node.ShardReplica replica) {
        Map<Order.Key, Slot> slots = new HashMap<>();
        replica.machine.slots().forEach(slot -> slots.put(slot.key(), slot));
        return slots;
    }

    /** Returns the entries of living writers, without their ages. */
    private Map<Entry.Key, String> entriesByKey(Node.ShardReplica replica) {
        Map<Entry.Key, String> entries = new TreeMap<>(Comparator.comparing(Entry.Key::toString));
        for (String topic : SimulatedFleet.ENTRY_TOPICS) {
            for (Entry entry : replica.machine.entries(topic, replica.owner.node().clockUs())) {
                if (alive(entry.key().writer())) {
                    entries.put(entry.key(), entry.incarnation() + "." + entry.version() + "=" + entry.payload());
                }
            }
        }
        return entries;
    }

    /** Checks that the orders given after the last fault are acknowledged. */
    void checkProbes() {
        for (Call call : probes) {
            if (call.acknowledgedUs < 0) {
                throw new Violation(Rule.SERVES, call.id + " is not acknowledged though no fault is left: " + call.lastAnswer);
            }
        }
    }
}
