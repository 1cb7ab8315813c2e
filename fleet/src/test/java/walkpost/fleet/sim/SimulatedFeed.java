package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.observe.Feed;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveSettings;

/** The part of a simulated voter's process that serves observers: owns the feed, and connects it with the shards. */
final class SimulatedFeed {
    final Node.Process owner;
    private final SimulatedFleet fleet;
    private final Feed machine;
    private final ActionQueue<FeedAction> out;
    private final Set<Integer> caughtUpShards = new HashSet<>();
    private long lastBehindUs;

    SimulatedFeed(SimulatedFleet fleet, Node.Process owner) {
        this.fleet = fleet;
        this.owner = owner;
        machine = new Feed(ObserveSettings.defaults(), owner.node().name, owner.node().region, fleet.configured);
        out = new ActionQueue<>(owner, fleet.time, this::carryOut);
    }

    /** Returns whether all shards have reported that they are caught up. */
    boolean isCaughtUp() {
        return caughtUpShards.size() == fleet.shards;
    }

    /** Returns the latest time at which a shard was not caught up. */
    long lastBehindUs() {
        return lastBehindUs;
    }

    /** Returns the number of living observers by region, as this voter knows it. */
    Map<String, Integer> lives() {
        return machine.observersByRegion(owner.node().clockUs());
    }

    void handle(FeedEvent event) {
        List<FeedAction> actions = new ArrayList<>();
        machine.handle(owner.node().clockUs(), event, actions::add);
        actions.forEach(action -> fleet.faultInjection.replaceAction(owner.node(), action).forEach(out::add));
        out.drain();
    }

    void drain() {
        out.drain();
    }

    /** Passes on the slots of a shard that have changed and, if there is a directory, are on disk. */
    void slotsChanged(List<Slot> slots) {
        handle(new FeedEvent.SlotsChanged(slots));
    }

    /** Passes on an action of a shard that the process has carried out. */
    void shardActed(Node.ShardReplica replica, ShardAction action) {
        if (action instanceof ShardAction.Acknowledged reported) {
            handle(new FeedEvent.Acknowledged(reported.id(), reported.order()));
        } else if (action instanceof ShardAction.Refused reported) {
            handle(new FeedEvent.Refused(reported.id(), reported.why()));
        } else if (action instanceof ShardAction.CaughtUpChanged reported) {
            boolean wasCaughtUp = isCaughtUp();
            if (reported.caughtUp()) {
                caughtUpShards.add(replica.shard);
            } else {
                caughtUpShards.remove(replica.shard);
                lastBehindUs = fleet.time.nowUs();
            }
            if (isCaughtUp() != wasCaughtUp) {
                handle(new FeedEvent.CaughtUpChanged(isCaughtUp()));
            }
        }
    }

    private void carryOut(FeedAction action, long createdUs) {
        if (action instanceof FeedAction.Send send) {
            if (fleet.time.nowUs() - createdUs <= Node.MAX_SEND_DELAY_US) {
                fleet.send(this, send);
            }
        } else if (action instanceof FeedAction.Propose propose) {
            replicaOf(propose.key().topic(), propose.key().subject()).handle(
                    new ShardEvent.Propose(propose.key(), propose.id(), propose.replaces(), propose.payload()));
        } else if (action instanceof FeedAction.OfferSlots offer) {
            fleet.time.log("%s is offered %s", owner.node().name, offer.slots());
            offer.slots().stream().collect(Collectors.groupingBy(slot -> replicaOf(slot.key().topic(), slot.key().subject()).shard))
                    .forEach((shard, slots) -> owner.replicas.get(shard).handle(new ShardEvent.SlotsOffered(slots)));
        }
    }

    private Node.ShardReplica replicaOf(String topic, String subject) {
        return owner.replicas.get(fleet.shardOf(topic, subject));
    }
}
