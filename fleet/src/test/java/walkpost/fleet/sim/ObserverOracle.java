package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.sim.Violation.Rule;

/**
 * Checks the orders that observers act on against the history of the voters, which the {@link Oracle} records. It shares no code with the
 * state machines: it decides whether an order is replaced by following which order replaced which.
 */
final class ObserverOracle {
    private static final double MIN_CLOCK_RATE = 0.98;
    /** A copy that no caught-up voter has confirmed for this time, by the slowest clock, is no longer caught up. */
    private static final long MAX_UNCONFIRMED_US =
            (long) ((ObserveSettings.defaults().silenceUs() + ObserveSettings.defaults().heartbeatUs()) / MIN_CLOCK_RATE)
                    + 100 * SimClock.MILLI_US;

    /**
     * A message that a voter has sent.
     *
     * @param caughtUp whether the voter's process knew all its shards to be caught up
     * @param lastBehindUs the latest time at which a shard of the voter was not caught up
     */
    record SentMessage(ObserveMessage message, long atUs, boolean caughtUp, long lastBehindUs) { }

    /** What one life of an observer has reported so far. */
    static final class View {
        private final Map<Order.Key, EffectiveOrder> effectiveOrders = new HashMap<>();
        private final Set<String> replaced = new HashSet<>();
        private final Set<String> acted = new HashSet<>();
        /** The answers of caught-up voters to heartbeats that the observer has read. */
        private final Deque<SentMessage> confirmations = new ArrayDeque<>();
        private long confirmedUs = Long.MIN_VALUE / 4;
    }

    private final SimulatedFleet fleet;
    private final Oracle oracle;
    private Set<String> miscounted = Set.of();

    ObserverOracle(SimulatedFleet fleet, Oracle oracle) {
        this.fleet = fleet;
        this.oracle = oracle;
    }

    SentMessage sent(SimulatedFeed by, ObserveMessage message) {
        return new SentMessage(message, fleet.time.nowUs(), by.isCaughtUp(), by.lastBehindUs());
    }

    /** Records that an observer is about to read a message of a voter. */
    void read(SimulatedObserver observer, SentMessage sent) {
        if (sent.caughtUp && sent.message instanceof ObserveMessage.HeartbeatReply) {
            observer.view.confirmations.add(sent);
            observer.view.confirmedUs = Math.max(observer.view.confirmedUs, sent.atUs);
        }
        observer.view.confirmations.removeIf(old -> fleet.time.nowUs() - old.atUs > MAX_UNCONFIRMED_US);
    }

    /** Checks an action that an observer's state machine has emitted. */
    void emitted(SimulatedObserver observer, ObserverAction action) {
        if (action instanceof ObserverAction.EffectiveOrderChanged reported) {
            fleet.time.log("%s acts on %s: %s", name(observer), reported.key(), reported.effectiveOrder());
            checkOrder(observer, reported.key(), reported.effectiveOrder());
        } else if (action instanceof ObserverAction.CaughtUpChanged reported) {
            fleet.time.log("%s caught up: %s", name(observer), reported.caughtUp());
            if (reported.caughtUp()) {
                checkConfirmed(observer);
                checkHoldsAll(observer);
            }
        }
    }

    private void checkOrder(SimulatedObserver observer, Order.Key key, EffectiveOrder order) {
        View view = observer.view;
        List<Order> heads = heads(order);
        heads.forEach(oracle::checkDecided);
        Set<String> ids = ids(heads);
        ids.stream().filter(view.replaced::contains).forEach(id -> {
            throw new Violation(Rule.OVER, id + " was replaced at " + name(observer) + " and is in force again");
        });
        for (Order previous : heads(view.effectiveOrders.get(key))) {
            if (!ids.contains(previous.id())) {
                if (oracle.successors(previous.id()).stream().noneMatch(ids::contains)) {
                    throw new Violation(Rule.KEPT, name(observer) + " no longer acts on " + previous
                            + ", though the orders in force, " + ids + ", did not replace it");
                }
                view.replaced.add(previous.id());
            }
        }
        heads.forEach(head -> view.replaced.addAll(head.replaces()));
        view.acted.addAll(ids);
        Oracle.checkEffectiveOrder(name(observer), heads, order, order);
        view.effectiveOrders.put(key, order);
    }

    private void checkConfirmed(SimulatedObserver observer) {
        if (observer.view.confirmations.stream().noneMatch(sent -> fleet.time.nowUs() - sent.atUs <= MAX_UNCONFIRMED_US)) {
            throw new Violation(Rule.LEVEL, name(observer) + " is caught up, though no caught-up voter has answered it recently");
        }
    }

    /** Checks that a caught-up observer holds all orders acknowledged before the voter that confirmed it was last behind. */
    private void checkHoldsAll(SimulatedObserver observer) {
        long lastBehindUs = observer.view.confirmations.stream().mapToLong(SentMessage::lastBehindUs).min().orElse(0);
        if (oracle.votersRemember()) {
            oracle.calls().stream().filter(call -> call.acknowledgedBefore(lastBehindUs)).forEach(call -> checkKept(observer, call));
        }
    }

    /** Checks an answer to an order that an observer's process has given to its caller. */
    void carriedOut(SimulatedObserver observer, ObserverAction action) {
        if (action instanceof ObserverAction.Acknowledged reported) {
            oracle.checkHeld(reported.order());
            oracle.acknowledged(observer.owner, reported.id(), reported.order());
        } else if (action instanceof ObserverAction.Refused reported) {
            oracle.refused(observer.owner, reported.id(), reported.cause());
        }
    }

    /** Checks the state that an observer shows after a tick. */
    void ticked(SimulatedObserver observer) {
        long nowUs = fleet.time.nowUs();
        long ageUs = observer.machine.controlAgeUs(observer.owner.node().clockUs());
        long trueUs = nowUs - observer.view.confirmedUs;
        if (ageUs < trueUs * MIN_CLOCK_RATE - SimClock.MILLI_US) {
            throw new Violation(Rule.AGE, name(observer) + " reports that its copy was in sync " + ageUs + " us ago, "
                    + "but no caught-up voter has answered it for " + trueUs + " us");
        }
        if (observer.machine.isCaughtUp()) {
            checkConfirmed(observer);
            observer.machine.effectiveOrders().forEach((key, order) -> {
                EffectiveOrder reported = observer.view.effectiveOrders.get(key);
                if (!order.equals(reported) && (order.payload() != null || reported != null && reported.payload() != null)) {
                    throw new Violation(Rule.ACTING, name(observer) + " holds " + order + " and reported " + reported);
                }
            });
        }
    }

    /** Checks all living observers some time after the last fault. */
    void checkSettled() {
        Node voter = fleet.nodes.get(0);
        Map<Order.Key, Slot> slots = new HashMap<>();
        voter.process().replicas.forEach(observer -> observer.machine.slots().forEach(slot -> slots.put(slot.key(), slot)));
        List<SimulatedObserver> live = fleet.nodes.stream().filter(node -> node.alive() && node.process().observer != null)
                .map(node -> node.process().observer).toList();
        Set<String> acted = new HashSet<>();
        live.forEach(observer -> acted.addAll(observer.view.acted));
        for (SimulatedObserver observer : live) {
            if (!observer.machine.isCaughtUp()) {
                throw new Violation(Rule.SERVES, name(observer) + " is not caught up though no fault is left");
            }
            Set<Order.Key> keys = new HashSet<>(slots.keySet());
            keys.addAll(observer.view.effectiveOrders.keySet());
            keys.forEach(key -> checkConverged(observer, key, slots.get(key)));
            // A living observer returns the orders that it has acted on, even to voters that have lost them all.
            oracle.calls().stream().filter(call -> call.acknowledgedBefore(Long.MAX_VALUE))
                    .filter(call -> oracle.majorityRemembers() || acted.contains(call.id)).forEach(call -> checkKept(observer, call));
        }
    }

    private void checkConverged(SimulatedObserver observer, Order.Key key, Slot slot) {
        List<Order> heads = slot == null ? List.of() : slot.heads();
        List<Order> observed = heads(observer.view.effectiveOrders.get(key));
        if (!ids(heads).equals(ids(observed)) && !(nothingInForce(heads) && nothingInForce(observed))) {
            throw new Violation(Rule.MEET, name(observer) + " acts on " + observed + ", but in force are " + heads);
        }
    }

    private void checkKept(SimulatedObserver observer, Oracle.Call call) {
        List<Order> heads = heads(observer.view.effectiveOrders.get(call.key));
        Set<String> successors = oracle.successors(call.id);
        if (ids(heads).stream().noneMatch(successors::contains) && !(nothingInForce(heads) && oracle.includesRemoval(successors))) {
            throw new Violation(Rule.KEPT,
                    call.id + " was acknowledged, but is neither in force nor replaced at " + name(observer) + ": " + heads);
        }
    }

    /**
     * Checks that all members know the number of living observers. A count may be wrong for the few seconds in which an observer changes
     * the voter that counts it; so the caller calls this twice, further apart than that, and only the second wrong count of a member fails.
     */
    void checkCounts() {
        long living = fleet.nodes.stream().filter(node -> node.alive() && node.process().observer != null).count();
        Set<String> wrong = new HashSet<>();
        for (Node node : fleet.nodes) {
            if (node.alive() && counts(node.process()).values().stream().mapToInt(Integer::intValue).sum() != living) {
                wrong.add(node.name);
                if (miscounted.contains(node.name)) {
                    throw new Violation(Rule.MEMBERS,
                            node.name + " counts " + counts(node.process()) + " observers, but " + living + " are alive");
                }
            }
        }
        miscounted = wrong;
    }

    private static Map<String, Integer> counts(Node.Process process) {
        return process.observer == null ? process.feed.lives() : process.observer.machine.observersByRegion();
    }

    private static boolean nothingInForce(List<Order> heads) {
        return heads.stream().allMatch(head -> head.payload() == null);
    }

    private static List<Order> heads(EffectiveOrder order) {
        if (order == null || order.chosen() == null) {
            return List.of();
        }
        List<Order> heads = new ArrayList<>(order.rivals());
        heads.add(order.chosen());
        return heads;
    }

    private static Set<String> ids(List<Order> heads) {
        Set<String> ids = new HashSet<>();
        heads.forEach(head -> ids.add(head.id()));
        return ids;
    }

    private static String name(SimulatedObserver observer) {
        return observer.owner.node().name;
    }
}
