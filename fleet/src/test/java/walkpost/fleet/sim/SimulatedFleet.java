package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.KeyHash;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserverEvent;

/**
 * A whole fleet in one thread, with everything random drawn from a seed. First come faults, of the kinds that the seed has drawn, while
 * operators give orders and writers write entries. Then all faults end, and after a while the oracle checks the resulting state.
 */
final class SimulatedFleet {
    private static final long SETTLE_US = 15 * SimClock.SECOND_US;
    private static final long PROBE_US = 3 * SimClock.SECOND_US;
    /** The time after the last fault within which every observer acts on the orders in force. */
    private static final long OBSERVERS_SETTLE_US = 12 * SimClock.SECOND_US;
    static final int VOTERS = 3;
    private static final int OBSERVERS = 12;
    static final List<String> REGIONS = List.of("north", "south");
    static final ShardSettings SHARD_SETTINGS = ShardSettings.defaults()
            .withStalenessBounds(Map.of("verdict", 3 * SimClock.SECOND_US), 10 * SimClock.SECOND_US);
    /** The default settings, except that members probe dead members and synchronize sooner, so that a run does not take minutes. */
    static final MemberSettings MEMBER_SETTINGS = withShortPeriods(MemberSettings.defaults());
    static final List<String> ENTRY_TOPICS = List.of("verdict", "load");
    private static final List<String> ORDER_TOPICS = List.of("exclusion", "placement", "calendar");

    final SimClock time;
    final Layout layout;
    final FaultInjection faultInjection;
    final int shards;
    final Set<String> configured = new TreeSet<>();
    final Oracle oracle;
    final List<Node> nodes = new ArrayList<>();
    private final Network network;
    private final List<Order.Key> keys = new ArrayList<>();
    private final long faultsEndUs;
    /** A member that sends faulty entries under its own name, or null. */
    private final Node faultyWriter;
    /** An observer that answers messages that only voters receive, or null. */
    private final Node forger;
    /** The node to isolate when it next sends a decision, or null. */
    private Node isolateAtCommit;
    private int lastNumber;

    SimulatedFleet(long seed, Layout layout, FaultInjection faultInjection, boolean traced) {
        this.layout = layout;
        this.faultInjection = faultInjection;
        time = new SimClock(seed, traced);
        boolean allHoldReplicas = layout == Layout.ALL_COPY;
        int size = allHoldReplicas ? (int) time.between(3, 12) : VOTERS + OBSERVERS;
        shards = (int) time.between(1, 3);
        network = new Network(time, size);
        boolean directories = time.chance(0.7);
        int voters = !allHoldReplicas ? VOTERS : time.chance(0.7) ? size : (int) time.between(3, size);
        oracle = new Oracle(this, directories);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node(this, index, directories));
            if (index < voters) {
                configured.add(nodes.get(index).name);
            }
        }
        for (int key = 0; key < time.between(1, 5); key++) {
            keys.add(new Order.Key(ORDER_TOPICS.get(key % ORDER_TOPICS.size()), "s" + key));
        }
        faultsEndUs = time.between(6, 18) * SimClock.SECOND_US;
        faultyWriter = time.chance(0.2) ? any(nodes) : null;
        forger = !allHoldReplicas && time.chance(0.3) ? any(nodes.subList(VOTERS, size)) : null;
    }

    /** Runs the simulation to its end. Throws a {@link Violation} as soon as a rule is broken. */
    void run() {
        nodes.forEach(node -> time.after(time.chance(0.8) ? 0 : time.between(0, 3 * SimClock.SECOND_US), () -> startUnlessAlive(node)));
        planFaults();
        planOrders();
        planEntries();
        time.after(faultsEndUs, this::endFaults);
        time.runUntil(faultsEndUs + OBSERVERS_SETTLE_US);
        oracle.observers.checkSettled();
        time.runUntil(faultsEndUs + SETTLE_US);
        oracle.checkSettled();
        if (layout == Layout.FEW_VOTE) {
            oracle.observers.checkCounts();
        }
        probe();
        time.runUntil(faultsEndUs + SETTLE_US + PROBE_US);
        oracle.checkProbes();
        if (layout == Layout.FEW_VOTE) {
            oracle.observers.checkCounts();
        }
    }

    /** Returns the addresses of the members that a starting member contacts. */
    List<Address> seeds() {
        return List.of(nodes.get(0).address, nodes.get(1).address, nodes.get(2).address);
    }

    boolean isFaultyWriter(String name) {
        return faultyWriter != null && faultyWriter.name.equals(name);
    }

    int shardOf(String topic, String subject) {
        return KeyHash.shardOf(topic, subject, shards);
    }

    int majority() {
        return configured.size() / 2 + 1;
    }

    private static MemberSettings withShortPeriods(MemberSettings as) {
        return new MemberSettings(as.periodUs(), as.pingFloorUs(), as.helpers(), as.tellings(), as.spread(), as.suspicionLeast(),
                as.suspicionSpread(), as.confirmations(), as.healthWorst(), 6 * SimClock.SECOND_US, 4 * SimClock.SECOND_US, as.joinUs(),
                as.gapUs(), as.forgetUs(), as.deadKept(), as.livingKept());
    }

    // Messages between nodes.

    /** Sends a membership message. */
    void send(Node from, MemberAction.SendTo send) {
        for (Node to : nodes) {
            if (to.address.equals(send.to())) {
                network.send(from.index, to.index, send.large(), () -> {
                    Node.Process process = to.process();
                    if (process != null) {
                        process.receive(() -> process.handle(new MemberEvent.Received(from.address, send.message())));
                    }
                });
            }
        }
    }

    /** Sends a message between replicas of a shard. */
    void send(Node.ShardReplica from, ShardAction.Send send) {
        Node sender = from.owner.node();
        if (sender == isolateAtCommit && send.message() instanceof ShardMessage.Commit commit && time.nowUs() < faultsEndUs) {
            isolateAtCommit = null;
            isolateAtCommit(sender, commit.slot().key());
        }
        if (forger != null && time.nowUs() < faultsEndUs) {
            forge(sender, from.shard, send.message());
        }
        ShardMessage message = sender == faultyWriter && time.nowUs() < faultsEndUs ? corruptEntries(send.message()) : send.message();
        long sentUs = time.nowUs();
        for (Node to : nodes) {
            if (to.name.equals(send.to())) {
                network.send(sender.index, to.index, false, () -> {
                    Node.Process process = to.process();
                    if (process != null) {
                        Node.ShardReplica replica = process.replicas.get(from.shard);
                        oracle.arrived(replica, from, message, sentUs);
                        process.receive(() -> {
                            oracle.read(replica, sender.name, sentUs);
                            replica.handle(new ShardEvent.Received(sender.name, message));
                        });
                    }
                });
            }
        }
    }

    /** Answers a voter's proposal or decision in the name of the forger, an observer, as if it were a voter. */
    private void forge(Node coordinator, int shard, ShardMessage message) {
        ShardMessage forged = message instanceof ShardMessage.Propose proposal
                ? new ShardMessage.Promised(proposal.round(), proposal.order().id())
                : message instanceof ShardMessage.Commit commit ? new ShardMessage.Committed(commit.round(), commit.id()) : null;
        if (forged != null && forger.alive() && forger.process().isRunning()) {
            network.send(forger.index, coordinator.index, false, () -> {
                Node.Process process = coordinator.process();
                if (process != null) {
                    process.receive(() -> process.replicas.get(shard).handle(new ShardEvent.Received(forger.name, forged)));
                }
            });
        }
    }

    /** Sends a message from an observer to a voter. */
    void send(Node from, String to, ObserveMessage message) {
        time.log("%s to %s: %s", from.name, to, message);
        send(from, to, process -> {
            if (process.feed != null) {
                process.feed.handle(new FeedEvent.Received(from.name, message));
            }
        });
    }

    /** Sends a message from a voter's feed to an observer or to another voter. */
    void send(SimulatedFeed from, FeedAction.Send send) {
        Node sender = from.owner.node();
        if (!(send.message() instanceof ObserveMessage.ObserverCounts)) {
            time.log("%s to %s: %s", sender.name, send.to(), send.message());
        }
        ObserverOracle.SentMessage sent = oracle.observers.sent(from, send.message());
        send(sender, send.to(), process -> {
            if (process.feed != null) {
                process.feed.handle(new FeedEvent.Received(sender.name, send.message()));
            } else if (process.observer != null) {
                oracle.observers.read(process.observer, sent);
                process.observer.handle(new ObserverEvent.Received(sender.name, send.message()));
            }
        });
    }

    private void send(Node from, String name, Consumer<Node.Process> reader) {
        for (Node to : nodes) {
            if (to.name.equals(name)) {
                network.send(from.index, to.index, false, () -> {
                    Node.Process process = to.process();
                    if (process != null) {
                        process.receive(() -> reader.accept(process));
                    }
                });
            }
        }
    }

    /** Corrupts entries of the faulty writer: gives them another payload for the same version, or a version that nothing can exceed. */
    private ShardMessage corruptEntries(ShardMessage message) {
        return RecordRewriter.each(message, Entry.class, entry -> {
            if (!entry.key().writer().equals(faultyWriter.name) || time.chance(0.5)) {
                return entry;
            }
            boolean high = time.chance(0.3);
            return new Entry(entry.key(), high && time.chance(0.5) ? Long.MAX_VALUE - time.below(3) : entry.incarnation(),
                    high ? Long.MAX_VALUE - time.below(3) : entry.version(), "\"lie" + time.below(3) + "\"", entry.ageUs());
        });
    }

    // Faults.

    private void planFaults() {
        for (Fault fault : Fault.values()) {
            if (time.chance(fault == Fault.ISOLATE_AT_COMMIT ? 0.6 : 0.35)) {
                for (int times = time.below(4); times >= 0; times--) {
                    time.after(time.between(SimClock.SECOND_US, faultsEndUs - 1), () -> inject(fault));
                }
            }
        }
        for (int times = layout == Layout.FEW_VOTE ? time.below(3) : 0; times > 0; times--) {
            time.after(time.between(SimClock.SECOND_US, faultsEndUs - 1), this::isolateObserver);
        }
    }

    /** Isolates an observer for a long time. Two isolated observers may reach each other, but observers exchange no messages. */
    private void isolateObserver() {
        Node node = any(nodes.subList(VOTERS, nodes.size()));
        time.log("%s is isolated", node.name);
        network.isolate(node.index);
        time.after(time.between(6 * SimClock.SECOND_US, 20 * SimClock.SECOND_US), () -> network.rejoin(node.index));
    }

    private enum Fault {
        KILL, KILL_MOST, KILL_ALL, KILL_IN_BATCH, SUSPEND, SUSPEND_IN_BATCH, DIVIDE, ISOLATE_AT_COMMIT, SILENCE, STEP_WALL_CLOCK, LEAVE
    }

    private void inject(Fault fault) {
        // With few voters, a fault at a voter has more effect than one at an observer.
        Node node = layout == Layout.FEW_VOTE && time.chance(0.4) ? any(nodes.subList(0, VOTERS)) : any(nodes);
        long untilFaultsEndUs = Math.max(1, faultsEndUs - time.nowUs());
        long suspensionUs = Math.min(
                time.between(SimClock.SECOND_US / 2, time.chance(0.5) ? 3 * SimClock.SECOND_US : 20 * SimClock.SECOND_US),
                untilFaultsEndUs);
        time.log("fault %s at %s", fault, node.name);
        switch (fault) {
            case KILL -> killForAWhile(node, time.chance(0.3) ? 30 * SimClock.SECOND_US : 3 * SimClock.SECOND_US);
            case KILL_MOST -> nodes.stream().filter(each -> time.chance(0.7)).forEach(each -> killForAWhile(each, 2 * SimClock.SECOND_US));
            case KILL_ALL -> nodes.forEach(each -> killForAWhile(each, 2 * SimClock.SECOND_US));
            case KILL_IN_BATCH -> node.setTrap(time.below(30), () -> killForAWhile(node, 2 * SimClock.SECOND_US));
            case SUSPEND -> node.suspend(suspensionUs);
            case SUSPEND_IN_BATCH -> node.setTrap(time.below(30),
                    () -> node.suspend(Math.min(suspensionUs, Math.max(1, faultsEndUs - time.nowUs()))));
            case DIVIDE -> {
                network.divide((int) time.between(2, 3));
                time.after(time.between(SimClock.SECOND_US, 10 * SimClock.SECOND_US), () -> network.divide(1));
            }
            case ISOLATE_AT_COMMIT -> isolateAtCommit = node;
            case SILENCE -> {
                int other = time.below(nodes.size());
                network.silence(node.index, other, true);
                time.after(time.between(SimClock.SECOND_US, 10 * SimClock.SECOND_US), () -> network.silence(node.index, other, false));
            }
            case STEP_WALL_CLOCK -> node.stepWallClock(time.chance(0.5) ? 3_600_000 : -3_600_000);
            case LEAVE -> {
                if (node.alive() && node.process().isRunning()) {
                    node.process().handle(new MemberEvent.Leave());
                    killForAWhile(node, 3 * SimClock.SECOND_US);
                }
            }
        }
    }

    /**
     * Isolates a coordinator that has just decided an order, and gives another order for the same key to another member before the others
     * learn of the decision, so that the two orders become rivals.
     */
    private void isolateAtCommit(Node node, Order.Key key) {
        time.log("%s is isolated after a decision on %s", node.name, key);
        network.isolate(node.index);
        time.after(time.between(5 * SimClock.SECOND_US, 10 * SimClock.SECOND_US), () -> network.divide(1));
        Node drawn = any(nodes);
        // An observer would try all voters in turn, the isolated one among them.
        Node other = layout == Layout.FEW_VOTE ? nodes.get((node.index + 1 + drawn.index % (VOTERS - 1)) % VOTERS) : drawn;
        for (long delayUs = 3 * SimClock.SECOND_US; delayUs < 6 * SimClock.SECOND_US; delayUs += SimClock.SECOND_US) {
            time.after(delayUs, () -> give(other, oracle.register(key, "o" + lastNumber++, replaces(other, key), payload())));
        }
    }

    private void killForAWhile(Node node, long maxDownUs) {
        if (time.nowUs() < faultsEndUs) {
            node.kill();
            time.after(time.between(0, maxDownUs), () -> startUnlessAlive(node));
        }
    }

    private void startUnlessAlive(Node node) {
        if (!node.alive() && time.nowUs() < faultsEndUs) {
            node.start();
        }
    }

    /** Ends all faults. A minority of the configured members may stay dead, but not the first of those that starting members contact. */
    private void endFaults() {
        time.log("all faults end");
        network.heal();
        int mayStayDead = time.chance(0.5) ? configured.size() - majority() : 0;
        for (Node node : nodes) {
            node.setTrap(-1, null);
            if (!node.alive() && (node.index == 0 || node.holdsReplicas && mayStayDead-- <= 0 || time.chance(0.5))) {
                node.start();
            }
        }
        isolateAtCommit = null;
        oracle.faultsEnded();
    }

    // The operators and writers.

    private void planOrders() {
        int orders = time.below(25);
        for (int order = 0; order < orders; order++) {
            time.after(time.between(SimClock.SECOND_US, faultsEndUs + SimClock.SECOND_US), () -> {
                Order.Key key = any(keys);
                int callCount = time.chance(0.25) ? 2 : 1;
                for (int call = 0; call < callCount; call++) {
                    Node node = any(nodes);
                    give(node, oracle.register(key, "o" + lastNumber++, replaces(node, key), payload()));
                }
            });
        }
    }

    private String replaces(Node node, Order.Key key) {
        if (time.chance(0.3)) {
            return null;
        }
        if (time.chance(0.05)) {
            return "o" + time.below(lastNumber + 1);
        }
        EffectiveOrder current = node.alive() ? orderInEffect(node.process(), key) : null;
        return current == null || current.chosen() == null ? "" : current.chosen().id();
    }

    private EffectiveOrder orderInEffect(Node.Process process, Order.Key key) {
        return (process.observer != null ? process.observer.machine.effectiveOrders()
                : process.replicas.get(shardOf(key.topic(), key.subject())).machine.effectiveOrders()).get(key);
    }

    private String payload() {
        return time.chance(0.25) ? null : "\"" + lastNumber + "\"";
    }

    /** Gives an order, and at times gives the same order again, as operators do when they get no answer. */
    private void give(Node node, Oracle.Call call) {
        if (node.alive()) {
            Node.Process process = node.process();
            process.receive(() -> {
                propose(process, call);
            });
        }
        if (time.chance(0.4) && time.nowUs() < faultsEndUs) {
            Node next = time.chance(0.5) ? node : any(nodes);
            time.after(time.between(0, 5 * SimClock.SECOND_US), () -> give(next, call));
        }
    }

    private void propose(Node.Process process, Oracle.Call call) {
        oracle.recordCall(process, call);
        if (process.observer != null) {
            process.observer.handle(new ObserverEvent.Propose(call.key, call.id, call.replaces, call.payload));
            return;
        }
        process.replicas.get(shardOf(call.key.topic(), call.key.subject())).handle(
                new ShardEvent.Propose(call.key, call.id, call.replaces, call.payload));
    }

    private void planEntries() {
        for (int entries = time.below(60); entries > 0; entries--) {
            time.after(time.between(0, faultsEndUs + 10 * SimClock.SECOND_US), () -> {
                Node node = any(nodes);
                if (node.alive() && node.process().isRunning()) {
                    write(node, any(ENTRY_TOPICS), "s" + time.below(3));
                }
            });
        }
    }

    private void write(Node node, String topic, String subject) {
        String payload = time.chance(0.1) ? null : "\"f" + lastNumber++ + "\"";
        if (node.process().observer != null) {
            node.process().observer.handle(new ObserverEvent.WriteEntry(topic, subject, payload));
            return;
        }
        oracle.written(node.process(), topic, subject, payload);
        node.process().replicas.get(shardOf(topic, subject)).handle(new ShardEvent.WriteEntry(topic, subject, payload));
    }

    /** Gives one more order for each key, whatever order is in force, because a fleet without faults must accept it. */
    private void probe() {
        for (Order.Key key : keys) {
            Node node = any(nodes.stream()
                    .filter(each -> each.alive() && (configured.contains(each.name) || !each.holdsReplicas)).toList());
            Oracle.Call call = oracle.register(key, "probe" + lastNumber, null, "\"" + lastNumber++ + "\"");
            oracle.registerProbe(call);
            node.process().receive(() -> {
                propose(node.process(), call);
            });
        }
    }

    private <T> T any(List<T> elements) {
        return elements.get(time.below(elements.size()));
    }
}
