package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.CopySettings;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shards;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserverEvent;

/**
 * A whole fleet in one thread, made and troubled from a seed: first faults of the kinds that the seed has drawn, while operators give
 * orders and writers tell facts; then calm, after which the oracle looks at what is left.
 */
final class Cluster {
    private static final long SETTLE_US = 15 * Timeline.S;
    private static final long PROBE_US = 3 * Timeline.S;
    /** What stands is in force at every observer so long after the last fault. */
    private static final long OBSERVERS_US = 12 * Timeline.S;
    static final int VOTERS = 3;
    private static final int OBSERVERS = 12;
    static final List<String> REGIONS = List.of("north", "south");
    static final CopySettings COPY = CopySettings.usual().withBounds(Map.of("verdict", 3 * Timeline.S), 10 * Timeline.S);
    /** As the fleet has it, but that cuts are tried and all is exchanged sooner, so that a seed need not last for minutes. */
    static final MemberSettings MEMBERS = hasty(MemberSettings.usual());
    static final List<String> FACT_TOPICS = List.of("verdict", "load");
    private static final List<String> ORDER_TOPICS = List.of("exclusion", "placement", "calendar");

    final Timeline time;
    final Layout layout;
    final Plant plant;
    final int shards;
    final Set<String> configured = new TreeSet<>();
    final Oracle oracle;
    final List<Node> nodes = new ArrayList<>();
    private final Network network;
    private final List<Order.Key> keys = new ArrayList<>();
    private final long calmUs;
    private final Node liar;
    /** An observer that answers what only voters are asked. */
    private final Node forger;
    private Node cutAtHold;
    private int numbers;

    Cluster(long seed, Layout layout, Plant plant, boolean traced) {
        this.layout = layout;
        this.plant = plant;
        time = new Timeline(seed, traced);
        boolean all = layout == Layout.ALL_COPY;
        int size = all ? (int) time.between(3, 12) : VOTERS + OBSERVERS;
        shards = (int) time.between(1, 3);
        network = new Network(time, size);
        boolean directories = time.chance(0.7);
        int voters = !all ? VOTERS : time.chance(0.7) ? size : (int) time.between(3, size);
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
        calmUs = time.between(6, 18) * Timeline.S;
        liar = time.chance(0.2) ? any(nodes) : null;
        forger = !all && time.chance(0.3) ? any(nodes.subList(VOTERS, size)) : null;
    }

    /** Plays the seed to its end; throws {@link Violation} at the first thing that must not be. */
    void play() {
        nodes.forEach(node -> time.after(time.chance(0.8) ? 0 : time.between(0, 3 * Timeline.S), () -> startUnlessAlive(node)));
        planFaults();
        planOrders();
        planFacts();
        time.after(calmUs, this::calm);
        time.playUntil(calmUs + OBSERVERS_US);
        oracle.observers.settled();
        time.playUntil(calmUs + SETTLE_US);
        oracle.settled();
        if (layout == Layout.FEW_VOTE) {
            oracle.observers.counted();
        }
        probe();
        time.playUntil(calmUs + SETTLE_US + PROBE_US);
        oracle.probed();
        if (layout == Layout.FEW_VOTE) {
            oracle.observers.counted();
        }
    }

    /** Returns whom to ask first. */
    List<Address> seeds() {
        return List.of(nodes.get(0).address, nodes.get(1).address, nodes.get(2).address);
    }

    boolean lies(String name) {
        return liar != null && liar.name.equals(name);
    }

    int shardOf(String topic, String subject) {
        return Shards.of(topic, subject, shards);
    }

    int majority() {
        return configured.size() / 2 + 1;
    }

    private static MemberSettings hasty(MemberSettings as) {
        return new MemberSettings(as.periodUs(), as.pingFloorUs(), as.helpers(), as.tellings(), as.spread(), as.suspicionLeast(),
                as.suspicionSpread(), as.confirmations(), as.healthWorst(), 6 * Timeline.S, 4 * Timeline.S, as.joinUs(),
                as.gapUs(), as.forgetUs(), as.deadKept(), as.livingKept());
    }

    // What goes between nodes.

    void carry(Node from, MemberAction.SendTo send) {
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

    void carry(Node.Lane from, CopyAction.Send send) {
        Node sender = from.owner.node();
        if (sender == cutAtHold && send.message() instanceof CopyMessage.Hold hold && time.nowUs() < calmUs) {
            cutAtHold = null;
            cutAtHold(sender, hold.slot().key());
        }
        if (forger != null && time.nowUs() < calmUs) {
            forge(sender, from.shard, send.message());
        }
        CopyMessage message = sender == liar && time.nowUs() < calmUs ? lie(send.message()) : send.message();
        long sentUs = time.nowUs();
        for (Node to : nodes) {
            if (to.name.equals(send.to())) {
                network.send(sender.index, to.index, false, () -> {
                    Node.Process process = to.process();
                    if (process != null) {
                        Node.Lane lane = process.lanes.get(from.shard);
                        oracle.arrived(lane, from, message, sentUs);
                        process.receive(() -> {
                            oracle.read(lane, sender.name, sentUs);
                            lane.handle(new CopyEvent.Received(sender.name, message));
                        });
                    }
                });
            }
        }
    }

    /** The forger has heard what a voter asks the others, and answers as if it were one of them. */
    private void forge(Node asking, int shard, CopyMessage message) {
        CopyMessage forged = message instanceof CopyMessage.Propose asked ? new CopyMessage.Promised(asked.round(), asked.order().id())
                : message instanceof CopyMessage.Hold asked ? new CopyMessage.Held(asked.round(), asked.id()) : null;
        if (forged != null && forger.alive() && forger.process().runs()) {
            network.send(forger.index, asking.index, false, () -> {
                Node.Process process = asking.process();
                if (process != null) {
                    process.receive(() -> process.lanes.get(shard).handle(new CopyEvent.Received(forger.name, forged)));
                }
            });
        }
    }

    /** An observer says something to a voter, or a voter to another one. */
    void carry(Node from, String to, ObserveMessage message) {
        time.note("%s to %s: %s", from.name, to, message);
        carry(from, to, process -> {
            if (process.feed != null) {
                process.feed.handle(new FeedEvent.Received(from.name, message));
            }
        });
    }

    /** A voter says something to an observer, or to another voter. */
    void carry(FeedLane from, FeedAction.Send send) {
        Node sender = from.owner.node();
        if (!(send.message() instanceof ObserveMessage.Sum)) {
            time.note("%s to %s: %s", sender.name, send.to(), send.message());
        }
        ObserverOracle.Said said = oracle.observers.said(from, send.message());
        carry(sender, send.to(), process -> {
            if (process.feed != null) {
                process.feed.handle(new FeedEvent.Received(sender.name, send.message()));
            } else if (process.observer != null) {
                oracle.observers.read(process.observer, said);
                process.observer.handle(new ObserverEvent.Received(sender.name, send.message()));
            }
        });
    }

    private void carry(Node from, String name, Consumer<Node.Process> read) {
        for (Node to : nodes) {
            if (to.name.equals(name)) {
                network.send(from.index, to.index, false, () -> {
                    Node.Process process = to.process();
                    if (process != null) {
                        process.receive(() -> read.accept(process));
                    }
                });
            }
        }
    }

    /** A writer by fault: now two payloads for one version, now a version that nothing can ever follow. */
    private CopyMessage lie(CopyMessage message) {
        return Rewrite.each(message, Fact.class, fact -> {
            if (!fact.key().writer().equals(liar.name) || time.chance(0.5)) {
                return fact;
            }
            boolean high = time.chance(0.3);
            return new Fact(fact.key(), high && time.chance(0.5) ? Long.MAX_VALUE - time.below(3) : fact.incarnation(),
                    high ? Long.MAX_VALUE - time.below(3) : fact.version(), "\"lie" + time.below(3) + "\"", fact.ageUs());
        });
    }

    // Faults.

    private void planFaults() {
        for (Fault fault : Fault.values()) {
            if (time.chance(fault == Fault.CUT_AT_HOLD ? 0.6 : 0.35)) {
                for (int times = time.below(4); times >= 0; times--) {
                    time.after(time.between(Timeline.S, calmUs - 1), () -> strike(fault));
                }
            }
        }
        for (int times = layout == Layout.FEW_VOTE ? time.below(3) : 0; times > 0; times--) {
            time.after(time.between(Timeline.S, calmUs - 1), this::cutOff);
        }
    }

    /** An observer hears nothing for long; of two that are cut off at a time each may hear the other, which says nothing to it. */
    private void cutOff() {
        Node node = any(nodes.subList(VOTERS, nodes.size()));
        time.note("%s is cut off", node.name);
        network.isolate(node.index);
        time.after(time.between(6 * Timeline.S, 20 * Timeline.S), () -> network.rejoin(node.index));
    }

    private enum Fault { KILL, KILL_MOST, KILL_ALL, KILL_IN_BATCH, STOP, STOP_IN_BATCH, CUT, CUT_AT_HOLD, SILENCE, STEP_WALL, LEAVE }

    private void strike(Fault fault) {
        // Of few voters each counts for more than an observer does.
        Node node = layout == Layout.FEW_VOTE && time.chance(0.4) ? any(nodes.subList(0, VOTERS)) : any(nodes);
        long upToCalm = Math.max(1, calmUs - time.nowUs());
        long stopUs = Math.min(time.between(Timeline.S / 2, time.chance(0.5) ? 3 * Timeline.S : 20 * Timeline.S), upToCalm);
        time.note("fault %s at %s", fault, node.name);
        switch (fault) {
            case KILL -> killForAWhile(node, time.chance(0.3) ? 30 * Timeline.S : 3 * Timeline.S);
            case KILL_MOST -> nodes.stream().filter(each -> time.chance(0.7)).forEach(each -> killForAWhile(each, 2 * Timeline.S));
            case KILL_ALL -> nodes.forEach(each -> killForAWhile(each, 2 * Timeline.S));
            case KILL_IN_BATCH -> node.trap(time.below(30), () -> killForAWhile(node, 2 * Timeline.S));
            case STOP -> node.stop(stopUs);
            case STOP_IN_BATCH -> node.trap(time.below(30), () -> node.stop(Math.min(stopUs, Math.max(1, calmUs - time.nowUs()))));
            case CUT -> {
                network.cut((int) time.between(2, 3));
                time.after(time.between(Timeline.S, 10 * Timeline.S), () -> network.cut(1));
            }
            case CUT_AT_HOLD -> cutAtHold = node;
            case SILENCE -> {
                int other = time.below(nodes.size());
                network.silence(node.index, other, true);
                time.after(time.between(Timeline.S, 10 * Timeline.S), () -> network.silence(node.index, other, false));
            }
            case STEP_WALL -> node.stepWallClock(time.chance(0.5) ? 3_600_000 : -3_600_000);
            case LEAVE -> {
                if (node.alive() && node.process().runs()) {
                    node.process().handle(new MemberEvent.Leave());
                    killForAWhile(node, 3 * Timeline.S);
                }
            }
        }
    }

    /** Nobody else hears what a coordinator has just decided before another order for that key is given elsewhere: so rivals come about. */
    private void cutAtHold(Node node, Order.Key key) {
        time.note("%s is alone with what it decided on %s", node.name, key);
        network.isolate(node.index);
        time.after(time.between(5 * Timeline.S, 10 * Timeline.S), () -> network.cut(1));
        Node drawn = any(nodes);
        // Observers would try one voter after the other, the one that is alone among them.
        Node other = layout == Layout.FEW_VOTE ? nodes.get((node.index + 1 + drawn.index % (VOTERS - 1)) % VOTERS) : drawn;
        for (long delayUs = 3 * Timeline.S; delayUs < 6 * Timeline.S; delayUs += Timeline.S) {
            time.after(delayUs, () -> give(other, oracle.called(key, "o" + numbers++, replaces(other, key), payload())));
        }
    }

    private void killForAWhile(Node node, long longestUs) {
        if (time.nowUs() < calmUs) {
            node.kill();
            time.after(time.between(0, longestUs), () -> startUnlessAlive(node));
        }
    }

    private void startUnlessAlive(Node node) {
        if (!node.alive() && time.nowUs() < calmUs) {
            node.start();
        }
    }

    /** All faults end; a minority of the configured may stay dead, but not all whom others ask first. */
    private void calm() {
        time.note("calm");
        network.heal();
        int mayStayDead = time.chance(0.5) ? configured.size() - majority() : 0;
        for (Node node : nodes) {
            node.trap(-1, null);
            if (!node.alive() && (node.index == 0 || node.copies && mayStayDead-- <= 0 || time.chance(0.5))) {
                node.start();
            }
        }
        cutAtHold = null;
        oracle.calm();
    }

    // What operators and writers do.

    private void planOrders() {
        int orders = time.below(25);
        for (int order = 0; order < orders; order++) {
            time.after(time.between(Timeline.S, calmUs + Timeline.S), () -> {
                Order.Key key = any(keys);
                int atOnce = time.chance(0.25) ? 2 : 1;
                for (int call = 0; call < atOnce; call++) {
                    Node node = any(nodes);
                    give(node, oracle.called(key, "o" + numbers++, replaces(node, key), payload()));
                }
            });
        }
    }

    private String replaces(Node node, Order.Key key) {
        if (time.chance(0.3)) {
            return null;
        }
        if (time.chance(0.05)) {
            return "o" + time.below(numbers + 1);
        }
        Acting acting = node.alive() ? acting(node.process(), key) : null;
        return acting == null || acting.chosen() == null ? "" : acting.chosen().id();
    }

    private Acting acting(Node.Process process, Order.Key key) {
        return (process.observer != null ? process.observer.machine.acting()
                : process.lanes.get(shardOf(key.topic(), key.subject())).machine.acting()).get(key);
    }

    private String payload() {
        return time.chance(0.25) ? null : "\"" + numbers + "\"";
    }

    /** Gives an order and, as the operator's answer may be lost or never come, gives the same one again now and then. */
    private void give(Node node, Oracle.Call call) {
        if (node.alive()) {
            Node.Process process = node.process();
            process.receive(() -> {
                propose(process, call);
            });
        }
        if (time.chance(0.4) && time.nowUs() < calmUs) {
            Node next = time.chance(0.5) ? node : any(nodes);
            time.after(time.between(0, 5 * Timeline.S), () -> give(next, call));
        }
    }

    private void propose(Node.Process process, Oracle.Call call) {
        oracle.opened(process, call);
        if (process.observer != null) {
            process.observer.handle(new ObserverEvent.Propose(call.key, call.id, call.replaces, call.payload));
            return;
        }
        process.lanes.get(shardOf(call.key.topic(), call.key.subject())).handle(
                new CopyEvent.Propose(call.key, call.id, call.replaces, call.payload));
    }

    private void planFacts() {
        for (int fact = time.below(60); fact > 0; fact--) {
            time.after(time.between(0, calmUs + 10 * Timeline.S), () -> {
                Node node = any(nodes);
                if (node.alive() && node.process().runs()) {
                    tell(node, any(FACT_TOPICS), "s" + time.below(3));
                }
            });
        }
    }

    private void tell(Node node, String topic, String subject) {
        String payload = time.chance(0.1) ? null : "\"f" + numbers++ + "\"";
        if (node.process().observer != null) {
            node.process().observer.handle(new ObserverEvent.Tell(topic, subject, payload));
            return;
        }
        oracle.told(node.process(), topic, subject, payload);
        node.process().lanes.get(shardOf(topic, subject)).handle(new CopyEvent.Tell(topic, subject, payload));
    }

    /** One more order for each key, whatever stands, as a mended fleet must be able to take. */
    private void probe() {
        for (Order.Key key : keys) {
            Node node = any(nodes.stream().filter(each -> each.alive() && (configured.contains(each.name) || !each.copies)).toList());
            Oracle.Call call = oracle.called(key, "probe" + numbers, null, "\"" + numbers++ + "\"");
            oracle.probing(call);
            node.process().receive(() -> {
                propose(node.process(), call);
            });
        }
    }

    private <T> T any(List<T> of) {
        return of.get(time.below(of.size()));
    }
}
