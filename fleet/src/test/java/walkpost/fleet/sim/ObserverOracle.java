package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.sim.Violation.Rule;

/**
 * Compares what observers act on with what truly happened among the voters, which the {@link Oracle} knows. It shares nothing with the
 * machines: what is over it finds by who replaced whom.
 */
final class ObserverOracle {
    private static final double RATE = 0.98;
    /** A copy that no level voter has confirmed for so long, by any clock, is no longer level. */
    private static final long UNCONFIRMED_US = (long) ((ObserveSettings.usual().silenceUs() + ObserveSettings.usual().beatUs()) / RATE)
            + 100 * Timeline.MS;

    /** What a voter said, when, and since when it was level for all that its process knew; never, where it was not. */
    record Said(ObserveMessage message, long atUs, boolean level, long lostUs) { }

    /** What one life of an observer has shown so far. */
    static final class View {
        private final Map<Order.Key, Acting> stands = new HashMap<>();
        private final Set<String> over = new HashSet<>();
        private final Set<String> acted = new HashSet<>();
        /** Answers to beats, by level voters, that were read. */
        private final Deque<Said> confirmed = new ArrayDeque<>();
        private long confirmedUs = Long.MIN_VALUE / 4;
    }

    private final Cluster cluster;
    private final Oracle oracle;
    private Set<String> miscounted = Set.of();

    ObserverOracle(Cluster cluster, Oracle oracle) {
        this.cluster = cluster;
        this.oracle = oracle;
    }

    Said said(FeedLane by, ObserveMessage message) {
        return new Said(message, cluster.time.nowUs(), by.level(), by.lostUs());
    }

    /** An observer is about to read what a voter said. */
    void read(ObserverLane lane, Said said) {
        if (said.level && said.message instanceof ObserveMessage.Echo) {
            lane.view.confirmed.add(said);
            lane.view.confirmedUs = Math.max(lane.view.confirmedUs, said.atUs);
        }
        lane.view.confirmed.removeIf(old -> cluster.time.nowUs() - old.atUs > UNCONFIRMED_US);
    }

    void emitted(ObserverLane lane, ObserverAction action) {
        if (action instanceof ObserverAction.Stands news) {
            cluster.time.note("%s stands %s %s", name(lane), news.key(), news.acting());
            stands(lane, news.key(), news.acting());
        } else if (action instanceof ObserverAction.Level news) {
            cluster.time.note("%s level %s", name(lane), news.level());
            if (news.level()) {
                mustBeConfirmed(lane);
                mustHoldAll(lane);
            }
        }
    }

    private void stands(ObserverLane lane, Order.Key key, Acting acting) {
        View view = lane.view;
        List<Order> heads = heads(acting);
        heads.forEach(oracle::decided);
        Set<String> ids = ids(heads);
        ids.stream().filter(view.over::contains).forEach(id -> {
            throw new Violation(Rule.OVER, id + " was over at " + name(lane) + " and is back");
        });
        for (Order before : heads(view.stands.get(key))) {
            if (!ids.contains(before.id())) {
                if (oracle.successors(before.id()).stream().noneMatch(ids::contains)) {
                    throw new Violation(Rule.KEPT, name(lane) + " acted on " + before + " and does so no more, though what stands, "
                            + ids + ", did not replace it");
                }
                view.over.add(before.id());
            }
        }
        heads.forEach(head -> view.over.addAll(head.replaces()));
        view.acted.addAll(ids);
        Oracle.acted(name(lane), heads, acting, acting);
        view.stands.put(key, acting);
    }

    private void mustBeConfirmed(ObserverLane lane) {
        if (lane.view.confirmed.stream().noneMatch(said -> cluster.time.nowUs() - said.atUs <= UNCONFIRMED_US)) {
            throw new Violation(Rule.LEVEL, name(lane) + " is level, and no level voter has answered it of late");
        }
    }

    /** Who is level holds all that was acknowledged before the voter that said so began to catch up. */
    private void mustHoldAll(ObserverLane lane) {
        long lostUs = lane.view.confirmed.stream().mapToLong(Said::lostUs).min().orElse(0);
        if (oracle.remembered()) {
            oracle.calls().stream().filter(call -> call.acknowledgedBefore(lostUs)).forEach(call -> kept(lane, call));
        }
    }

    void carried(ObserverLane lane, ObserverAction action) {
        if (action instanceof ObserverAction.Acknowledged news) {
            oracle.mustBeHeld(news.order());
            oracle.acknowledged(lane.owner, news.id(), news.order());
        } else if (action instanceof ObserverAction.Refused news) {
            oracle.refused(lane.owner, news.id(), news.why());
        }
    }

    void ticked(ObserverLane lane) {
        long nowUs = cluster.time.nowUs();
        long ageUs = lane.machine.controlAgeUs(lane.owner.node().clockUs());
        long trueUs = nowUs - lane.view.confirmedUs;
        if (ageUs < trueUs * RATE - Timeline.MS) {
            throw new Violation(Rule.AGE, name(lane) + " was sure of its copy " + ageUs + " us ago, it says, and no level voter has "
                    + "answered it for " + trueUs + " us");
        }
        if (lane.machine.level()) {
            mustBeConfirmed(lane);
            lane.machine.acting().forEach((key, acting) -> {
                Acting told = lane.view.stands.get(key);
                if (!acting.equals(told) && (acting.payload() != null || told != null && told.payload() != null)) {
                    throw new Violation(Rule.ACTING, name(lane) + " holds " + acting + " and told " + told);
                }
            });
        }
    }

    /** Some time after the last fault. */
    void settled() {
        Node voter = cluster.nodes.get(0);
        Map<Order.Key, Slot> slots = new HashMap<>();
        voter.process().lanes.forEach(lane -> lane.machine.slots().forEach(slot -> slots.put(slot.key(), slot)));
        List<ObserverLane> live = cluster.nodes.stream().filter(node -> node.alive() && node.process().observer != null)
                .map(node -> node.process().observer).toList();
        Set<String> acted = new HashSet<>();
        live.forEach(lane -> acted.addAll(lane.view.acted));
        for (ObserverLane lane : live) {
            if (!lane.machine.level()) {
                throw new Violation(Rule.SERVES, name(lane) + " is not level though all is well");
            }
            Set<Order.Key> keys = new HashSet<>(slots.keySet());
            keys.addAll(lane.view.stands.keySet());
            keys.forEach(key -> met(lane, key, slots.get(key)));
            // What an observer that lives has acted on is given back, also to voters that have forgotten all.
            oracle.calls().stream().filter(call -> call.acknowledgedBefore(Long.MAX_VALUE))
                    .filter(call -> oracle.majorityRemembers() || acted.contains(call.id)).forEach(call -> kept(lane, call));
        }
    }

    private void met(ObserverLane lane, Order.Key key, Slot slot) {
        List<Order> heads = slot == null ? List.of() : slot.heads();
        List<Order> here = heads(lane.view.stands.get(key));
        if (!ids(heads).equals(ids(here)) && !(nothing(heads) && nothing(here))) {
            throw new Violation(Rule.MEET, name(lane) + " acts on " + here + " and what stands is " + heads);
        }
    }

    private void kept(ObserverLane lane, Oracle.Call call) {
        List<Order> heads = heads(lane.view.stands.get(call.key));
        Set<String> after = oracle.successors(call.id);
        if (ids(heads).stream().noneMatch(after::contains) && !(nothing(heads) && oracle.removal(after))) {
            throw new Violation(Rule.KEPT, call.id + ", acknowledged, is not in force at " + name(lane) + " nor was replaced: " + heads);
        }
    }

    /**
     * How many live is known to all of them, but for the few seconds in which an observer changes the voter that counts it. To be called
     * twice, further apart than that.
     */
    void counted() {
        long live = cluster.nodes.stream().filter(node -> node.alive() && node.process().observer != null).count();
        Set<String> wrong = new HashSet<>();
        for (Node node : cluster.nodes) {
            if (node.alive() && counts(node.process()).values().stream().mapToInt(Integer::intValue).sum() != live) {
                wrong.add(node.name);
                if (miscounted.contains(node.name)) {
                    throw new Violation(Rule.MEMBERS, node.name + " counts " + counts(node.process()) + " and " + live + " live");
                }
            }
        }
        miscounted = wrong;
    }

    private static Map<String, Integer> counts(Node.Process process) {
        return process.observer == null ? process.feed.lives() : process.observer.machine.lives();
    }

    private static boolean nothing(List<Order> heads) {
        return heads.stream().allMatch(head -> head.payload() == null);
    }

    private static List<Order> heads(Acting acting) {
        if (acting == null || acting.chosen() == null) {
            return List.of();
        }
        List<Order> heads = new ArrayList<>(acting.rivals());
        heads.add(acting.chosen());
        return heads;
    }

    private static Set<String> ids(List<Order> heads) {
        Set<String> ids = new HashSet<>();
        heads.forEach(head -> ids.add(head.id()));
        return ids;
    }

    private static String name(ObserverLane lane) {
        return lane.owner.node().name;
    }
}
