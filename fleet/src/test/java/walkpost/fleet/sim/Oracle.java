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
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.sim.Violation.Rule;

/**
 * Knows what truly happened, and compares it with what members emit and show. It shares nothing with the merge rule: whether an order is
 * kept it finds by following who replaced whom among the orders that it has seen decided.
 */
final class Oracle {
    /** Monotonic clocks are this wrong at most. */
    private static final double RATE = 0.98;
    /** What a fact may wait at each hop beside its way without being older for it: in a lane, and for a tick that comes late. */
    private static final long HOP_US = 200 * Timeline.MS;
    private static final long SAMPLE_TICKS = 8;
    private static final long LONGEST_TICK_US = 60 * Timeline.MS;

    /** An operator's order, sent once or more often. */
    static final class Call {
        final Order.Key key;
        final String id;
        final String replaces;
        final String payload;
        private final Deque<Node.Process> open = new ArrayDeque<>();
        private boolean uncertain;
        /** Since when a majority holds it, for all that the oracle knows. */
        private long acknowledgedUs = -1;
        /** Whether a caller was told so. */
        private boolean confirmed;
        private String last = "never answered";

        private Call(Order.Key key, String id, String replaces, String payload) {
            this.key = key;
            this.id = id;
            this.replaces = replaces;
            this.payload = payload;
        }

        private boolean refused() {
            return open.isEmpty() && !uncertain && !confirmed;
        }

        boolean acknowledgedBefore(long atUs) {
            return acknowledgedUs >= 0 && acknowledgedUs < atUs;
        }
    }

    /** What one shard of one process has told so far. */
    static final class View {
        private boolean level;
        private boolean mustCatchUp;
        private long lostUs;
        private long deafUntilUs;
        private int samples;
        private final Map<String, Long> waysUs = new HashMap<>();
        private final Set<String> heard = new HashSet<>();
        private final Map<Order.Key, Acting> stands = new HashMap<>();
        private final Map<Fact.Key, Fact> fresh = new HashMap<>();
        private final Map<Order.Key, Set<String>> heads = new HashMap<>();
        private final Set<String> over = new HashSet<>();
        private final Map<Order.Key, Promise> promises = new HashMap<>();
    }

    /** One coordinator's try at an order. */
    private record Round(String of, long number) { }

    private record Promise(String id, Round round, long atUs) { }

    private record Told(long atUs, String payload) { }

    private final Cluster cluster;
    private final boolean directories;
    private final Map<String, Call> calls = new TreeMap<>();
    /** An order whose copies all lost their memory may be decided once more, and then replaces something else. */
    private final Map<String, Set<Order>> decided = new HashMap<>();
    private final Map<String, Set<String>> replacedBy = new HashMap<>();
    private final Map<String, Set<String>> promisedBy = new HashMap<>();
    private final Map<String, Set<String>> holders = new HashMap<>();
    private final Map<String, Long> toldUs = new HashMap<>();
    private final Map<Fact.Key, Told> lastTold = new HashMap<>();
    private final Set<Round> givenUp = new HashSet<>();
    private final Map<String, Long> diedUs = new HashMap<>();
    private final Set<Call> probes = new HashSet<>();
    private final Map<Order, Long> proposedUs = new HashMap<>();
    final ObserverOracle observers;
    private long lastKillUs = -1;

    Oracle(Cluster cluster, boolean directories) {
        this.cluster = cluster;
        this.directories = directories;
        observers = new ObserverOracle(cluster, this);
    }

    Collection<Call> calls() {
        return calls.values();
    }

    /** Returns whether voters that were killed have forgotten nothing. */
    boolean remembered() {
        return directories || lastKillUs < 0;
    }

    // What is done to the fleet.

    Call called(Order.Key key, String id, String replaces, String payload) {
        Call call = new Call(key, id, replaces, payload);
        calls.put(id, call);
        return call;
    }

    /** An order is given to a member. */
    void opened(Node.Process process, Call call) {
        call.open.add(process);
        cluster.time.note("%s to %s: %s replaces %s payload %s", call.id, process.node().name, call.key, call.replaces, call.payload);
    }

    void probing(Call call) {
        probes.add(call);
    }

    void told(Node.Process process, String topic, String subject, String payload) {
        if (payload != null) {
            toldUs.put(payload, cluster.time.nowUs());
        }
        lastTold.put(new Fact.Key(topic, subject, process.node().name), new Told(cluster.time.nowUs(), payload));
    }

    void killed(Node node, Node.Process process) {
        if (node.copies) {
            lastKillUs = cluster.time.nowUs();
        }
        diedUs.put(node.name, cluster.time.nowUs());
        calls.values().stream().filter(call -> call.open.removeIf(open -> open == process)).forEach(call -> call.uncertain = true);
        process.lanes.forEach(lane -> see(lane.machine.slots(), node, !directories));
        lastTold.keySet().removeIf(key -> key.writer().equals(node.name));
    }

    /** A stop that is too short for the process to be sure of it changes nothing; after another, what was said before it is old. */
    void stopped(Node.Process process, long forUs) {
        if (forUs * RATE > Cluster.COPY.gapUs() + LONGEST_TICK_US) {
            for (Node.Lane lane : process.lanes) {
                lane.view.deafUntilUs = cluster.time.nowUs() + forUs;
                lane.view.heard.clear();
                lane.view.mustCatchUp |= lane.view.level;
            }
        }
    }

    void written(Node node, List<Slot> slots) {
        see(slots, node, true);
    }

    private void see(Collection<Slot> slots, Node node, boolean holds) {
        for (Slot slot : slots) {
            slot.heads().forEach(this::decided);
            if (holds) {
                slot.heads().forEach(head -> holders.computeIfAbsent(head.id(), id -> new HashSet<>()).add(node.name));
                slot.replaced().keySet().forEach(over -> holders.computeIfAbsent(over, id -> new HashSet<>()).add(node.name));
            }
        }
    }

    void decided(Order order) {
        if (decided.computeIfAbsent(order.id(), id -> new HashSet<>()).add(order)) {
            onlyOnce(order);
            Set<String> by = promisedBy.getOrDefault(order.id(), Set.of());
            if (cluster.configured.stream().filter(by::contains).count() < cluster.majority()) {
                throw new Violation(Rule.DECIDED, order + " is decided, and promised by " + by + " only");
            }
            order.replaces().forEach(over -> replacedBy.computeIfAbsent(over, id -> new TreeSet<>()).add(order.id()));
        }
        Call call = calls.get(order.id());
        if (call == null) {
            throw new Violation(Rule.REFUSED, order + " was never given");
        }
        if (call.refused()) {
            throw new Violation(Rule.REFUSED, order + " is in force, and its caller was told: " + call.last);
        }
        if (!call.key.equals(order.key()) || !Objects.equals(call.payload, order.payload())) {
            throw new Violation(Rule.REFUSED, order + " is not what was called for: " + call.payload);
        }
    }

    /** An order that a majority holds is not carried out once more, whoever is asked for it. */
    private void onlyOnce(Order order) {
        Call call = calls.get(order.id());
        if (call != null && remembered() && call.acknowledgedBefore(proposedUs.getOrDefault(order, -1L))) {
            throw new Violation(Rule.ONCE, order + " is decided, and " + decided.get(order.id()) + " was acknowledged before");
        }
    }

    // What members say.

    /** A message has come to a computer that may be about to read it; how long its facts were on their ways is not what members count. */
    void arrived(Node.Lane lane, Node.Lane from, CopyMessage message, long sentUs) {
        if (message instanceof CopyMessage.Facts facts) {
            long wayUs = cluster.time.nowUs() - sentUs + HOP_US;
            facts.facts().forEach(fact -> lane.view.waysUs.merge(fact.payload(),
                    from.view.waysUs.getOrDefault(fact.payload(), 0L) + wayUs, Math::max));
        }
    }

    /** A message is about to be read. */
    void read(Node.Lane lane, String from, long sentUs) {
        if (sentUs >= lane.view.deafUntilUs) {
            lane.view.heard.add(from);
        }
    }

    void emitted(Node.Lane lane, CopyAction action) {
        View view = lane.view;
        String name = lane.owner.node().name;
        if (action instanceof CopyAction.Level news) {
            cluster.time.note("%s[%d] level %s", name, lane.shard, news.level());
            if (news.level()) {
                view.heard.add(name);
                long compared = cluster.configured.stream().filter(view.heard::contains).count();
                if (compared < cluster.majority()) {
                    throw new Violation(Rule.LEVEL, name + " is level, having heard only " + view.heard);
                }
            } else {
                view.lostUs = cluster.time.nowUs();
                view.heard.clear();
                view.mustCatchUp = false;
            }
            view.level = news.level();
        } else if (action instanceof CopyAction.Stands news) {
            cluster.time.note("%s[%d] stands %s %s", name, lane.shard, news.key(), news.acting());
            mustBeLevel(lane, action);
            if (news.acting().chosen() != null) {
                decided(news.acting().chosen());
            }
            news.acting().rivals().forEach(this::decided);
            view.stands.put(news.key(), news.acting());
        } else if (action instanceof CopyAction.Heard news) {
            if (news.fact().payload() == null) {
                view.fresh.remove(news.fact().key());
            } else {
                view.fresh.put(news.fact().key(), news.fact());
            }
        } else if (action instanceof CopyAction.Stale news) {
            view.fresh.remove(news.key());
        } else if (action instanceof CopyAction.Acknowledged news) {
            mustBeHeld(news.order());
        } else if (action instanceof CopyAction.Persist news) {
            see(news.slots(), lane.owner.node(), !directories);
        } else if (action instanceof CopyAction.Send send) {
            sent(lane, send);
        }
    }

    private void mustBeLevel(Node.Lane lane, Object what) {
        if (!lane.view.level || lane.view.mustCatchUp) {
            throw new Violation(Rule.LEVEL, lane.owner.node().name + " is not level and has not caught up, and yet: " + what);
        }
    }

    private void sent(Node.Lane lane, CopyAction.Send send) {
        CopyMessage message = send.message();
        if (message instanceof CopyMessage.Propose asked) {
            promisedBy.computeIfAbsent(asked.order().id(), id -> new TreeSet<>()).add(lane.owner.node().name);
            proposedUs.putIfAbsent(asked.order(), cluster.time.nowUs());
        } else if (message instanceof CopyMessage.Promised promised) {
            mustBeLevel(lane, message);
            cluster.time.note("%s[%d] promises %s round %d", lane.owner.node().name, lane.shard, promised.id(), promised.round());
            promisedBy.computeIfAbsent(promised.id(), id -> new TreeSet<>()).add(lane.owner.node().name);
            long nowUs = cluster.time.nowUs();
            Order.Key key = calls.get(promised.id()).key;
            Promise made = new Promise(promised.id(), new Round(send.to(), promised.round()), nowUs);
            Promise before = lane.view.promises.get(key);
            if (before == null || !before.round.equals(made.round)) {
                lane.view.promises.put(key, made);
            }
            if (before != null && !before.id.equals(promised.id()) && (nowUs - before.atUs) / RATE < Cluster.COPY.promiseUs()
                    && !decided.containsKey(before.id) && !givenUp.contains(before.round)) {
                throw new Violation(Rule.PROMISE, lane.owner.node().name + " promises " + key + " to " + before.id
                        + " and " + promised.id());
            }
        } else if (message instanceof CopyMessage.Forget forget) {
            cluster.time.note("%s[%d] forgets round %d", lane.owner.node().name, lane.shard, forget.round());
            givenUp.add(new Round(lane.owner.node().name, forget.round()));
        } else if (message instanceof CopyMessage.Held) {
            mustBeLevel(lane, message);
        }
    }

    void mustBeHeld(Order order) {
        if (!directories) {
            cluster.nodes.stream().filter(Node::alive).forEach(node -> node.process().lanes.forEach(
                    lane -> see(lane.machine.slots(), node, true)));
        }
        Set<String> held = holders.getOrDefault(order.id(), Set.of());
        if (cluster.configured.stream().filter(held::contains).count() < cluster.majority()) {
            throw new Violation(Rule.KEPT, order + " is acknowledged and held by " + held + " only");
        }
    }

    /** A shard has answered: whoever called this process, or an observer's order that was handed on to it. */
    void carried(Node.Lane lane, CopyAction action) {
        if (action instanceof CopyAction.Acknowledged news) {
            acknowledged(lane.owner, news.id(), news.order());
        } else if (action instanceof CopyAction.Refused news) {
            refused(lane.owner, news.id(), news.why());
        }
    }

    void acknowledged(Node.Process process, String id, Order order) {
        cluster.time.note("%s acknowledged at %s", order, process.node().name);
        Call call = calls.get(id);
        call.confirmed |= call.open.removeFirstOccurrence(process);
        call.acknowledgedUs = call.acknowledgedUs < 0 ? cluster.time.nowUs() : call.acknowledgedUs;
        decided(order);
    }

    /** Only what a caller is told counts: an observer may try another voter. */
    void refused(Node.Process process, String id, FleetException why) {
        cluster.time.note("%s refused at %s: %s", id, process.node().name, why.getMessage());
        Call call = calls.get(id);
        if (!call.open.removeFirstOccurrence(process)) {
            return;
        }
        call.last = why.getMessage();
        call.uncertain |= why instanceof FleetException.Uncertain
                || why instanceof FleetException.FromVoter && why.getMessage().contains(" says Uncertain: ");
        if (call.refused() && decided.containsKey(call.id)) {
            decided.get(call.id).forEach(this::decided);
        }
    }

    // What members show.

    void ticked(Node.Process process) {
        if (process.observer != null) {
            observers.ticked(process.observer);
        }
        for (Node.Lane lane : process.lanes) {
            if (lane.view.samples++ % SAMPLE_TICKS == 0) {
                facts(lane);
                slots(lane);
            }
        }
    }

    private void facts(Node.Lane lane) {
        for (Fact fact : lane.view.fresh.values()) {
            if (trueAgeUs(lane, fact) > Cluster.COPY.bound(fact.key().topic()) + HOP_US) {
                throw new Violation(Rule.AGE, lane.owner.node().name + " acts on " + fact + " of " + trueAgeUs(lane, fact) + " us ago");
            }
        }
        for (String topic : Cluster.FACT_TOPICS) {
            for (Fact fact : lane.machine.facts(topic, lane.owner.node().clockUs())) {
                if (trueAgeUs(lane, fact) > fact.ageUs()) {
                    throw new Violation(Rule.AGE, lane.owner.node().name + " tells " + fact + ", and it is " + trueAgeUs(lane, fact)
                            + " us old");
                }
            }
        }
    }

    /** Returns how old a fact is at the least, as clocks may count it; the network's part, which they can only guess, is taken off. */
    private long trueAgeUs(Node.Lane lane, Fact fact) {
        long nowUs = cluster.time.nowUs();
        return (long) ((nowUs - toldUs.getOrDefault(fact.payload(), nowUs) - lane.view.waysUs.getOrDefault(fact.payload(), 0L)) * RATE);
    }

    private void slots(Node.Lane lane) {
        View view = lane.view;
        String name = lane.owner.node().name;
        Collection<Slot> slots = lane.machine.slots();
        Map<Order.Key, Acting> acting = lane.machine.acting();
        see(slots, lane.owner.node(), !directories);
        Map<Order.Key, Slot> byKey = new HashMap<>();
        for (Slot slot : slots) {
            byKey.put(slot.key(), slot);
            Set<String> heads = new HashSet<>();
            slot.heads().forEach(head -> heads.add(head.id()));
            Set<String> before = view.heads.put(slot.key(), heads);
            if (before != null) {
                before.stream().filter(head -> !heads.contains(head)).forEach(view.over::add);
            }
            heads.stream().filter(view.over::contains).forEach(head -> {
                throw new Violation(Rule.OVER, head + " was over at " + name + " and is back");
            });
            if (view.level) {
                acted(name, slot.heads(), acting.get(slot.key()), view.stands.get(slot.key()));
            }
        }
        if (view.level && (directories || lastKillUs < 0)) {
            calls.values().stream().filter(call -> call.acknowledgedUs >= 0 && call.acknowledgedUs < view.lostUs)
                    .filter(call -> cluster.shardOf(call.key.topic(), call.key.subject()) == lane.shard)
                    .forEach(call -> kept(name, call, byKey.get(call.key)));
        }
    }

    /** What is acted on and was told has to follow from the heads. */
    static void acted(String name, List<Order> heads, Acting acting, Acting stands) {
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
        boolean same = acting != null && acting.chosen().id().equals(chosen.id()) && acting.rivals().size() == heads.size() - 1
                && (heads.size() > 1 && chosen.key().topic().equals("exclusion")
                        ? (payload == null) == (acting.payload() == null) : Objects.equals(payload, acting.payload()));
        if (!same || !acting.equals(stands)) {
            throw new Violation(Rule.ACTING, name + " acts on " + acting + " and told " + stands + ", where there is " + heads);
        }
    }

    private void kept(String name, Call call, Slot slot) {
        Set<String> heads = new HashSet<>();
        if (slot != null) {
            slot.heads().forEach(head -> heads.add(head.id()));
        }
        if (successors(call.id).stream().noneMatch(heads::contains)) {
            throw new Violation(Rule.KEPT, call.id + ", acknowledged, neither stands at " + name + " nor was replaced: " + slot);
        }
    }

    /** Returns an order's id and those of all that have replaced it, one after the other. */
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

    /** Returns whether one of these orders takes back what stood. */
    boolean removal(Collection<String> ids) {
        return ids.stream().flatMap(id -> decided.getOrDefault(id, Set.of()).stream()).anyMatch(order -> order.payload() == null);
    }

    // The end.

    void calm() {
        lastTold.keySet().removeIf(key -> !alive(key.writer()));
    }

    private boolean alive(String name) {
        return cluster.nodes.stream().anyMatch(node -> node.name.equals(name) && node.alive());
    }

    /** Some time after the last fault. */
    void settled() {
        List<Node> live = cluster.nodes.stream().filter(Node::alive).toList();
        for (Node node : live) {
            Map<String, Member> known = new HashMap<>();
            node.process().membership.members().forEach(member -> known.put(member.life().name(), member));
            for (Node other : cluster.nodes) {
                Member member = known.get(other.name);
                if ((member != null && member.standing() == Standing.ALIVE) != other.alive()) {
                    throw new Violation(Rule.MEMBERS, node.name + " holds " + member + ", and it " + (other.alive() ? "lives" : "is dead"));
                }
            }
            for (Node.Lane lane : node.process().lanes) {
                if (!lane.machine.level()) {
                    throw new Violation(Rule.SERVES, node.name + " is not level though all is well");
                }
                met(node, lane, live.get(0).process().lanes.get(lane.shard));
            }
        }
    }

    private void met(Node node, Node.Lane lane, Node.Lane first) {
        Map<Order.Key, Slot> slots = bySlot(lane);
        if (!slots.equals(bySlot(first))) {
            throw new Violation(Rule.MEET, node.name + " has " + slots + " and another one " + bySlot(first));
        }
        Map<Fact.Key, String> facts = byFact(lane);
        if (!facts.equals(byFact(first))) {
            throw new Violation(Rule.MEET, node.name + " has " + facts + " and another one " + byFact(first));
        }
        lastTold.forEach((key, told) -> {
            if (cluster.shardOf(key.topic(), key.subject()) == lane.shard && told.payload != null && !key.writer().equals(node.name)
                    && !facts.getOrDefault(key, "").endsWith(told.payload) && !cluster.lies(key.writer())) {
                throw new Violation(Rule.MEET, node.name + " has not heard " + key + " " + told + " but " + facts.get(key));
            }
        });
        boolean remembered = majorityRemembers();
        for (Call call : calls.values()) {
            if (call.acknowledgedUs >= 0 && cluster.shardOf(call.key.topic(), call.key.subject()) == lane.shard && remembered) {
                kept(node.name, call, slots.get(call.key));
                decided.get(call.id).stream().flatMap(order -> order.replaces().stream()).forEach(over -> {
                    if (slots.get(call.key).heads().stream().anyMatch(head -> head.id().equals(over))) {
                        throw new Violation(Rule.OVER, over + " stands at " + node.name + " though " + call.id + " replaced it");
                    }
                });
            }
        }
    }

    /** Returns whether a majority of the voters has lived all the time, or forgets nothing when it dies. */
    boolean majorityRemembers() {
        return directories || cluster.nodes.stream().filter(each -> each.alive()
                && cluster.configured.contains(each.name) && diedUs.getOrDefault(each.name, -1L) < 0).count() >= cluster.majority();
    }

    private static Map<Order.Key, Slot> bySlot(Node.Lane lane) {
        Map<Order.Key, Slot> slots = new HashMap<>();
        lane.machine.slots().forEach(slot -> slots.put(slot.key(), slot));
        return slots;
    }

    /** Returns the facts of writers that live, without their ages. */
    private Map<Fact.Key, String> byFact(Node.Lane lane) {
        Map<Fact.Key, String> facts = new TreeMap<>(Comparator.comparing(Fact.Key::toString));
        for (String topic : Cluster.FACT_TOPICS) {
            for (Fact fact : lane.machine.facts(topic, lane.owner.node().clockUs())) {
                if (alive(fact.key().writer())) {
                    facts.put(fact.key(), fact.incarnation() + "." + fact.version() + "=" + fact.payload());
                }
            }
        }
        return facts;
    }

    /** Some time after one more order was given for each key. */
    void probed() {
        for (Call call : probes) {
            if (call.acknowledgedUs < 0) {
                throw new Violation(Rule.SERVES, call.id + " is not acknowledged though all is well: " + call.last);
            }
        }
    }
}
