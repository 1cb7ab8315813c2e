package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.observe.Feed;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveSettings;

/** What a voter's process does for its observers: it owns the feed, and stands between that and the shards. */
final class FeedLane {
    final Node.Process owner;
    private final Cluster cluster;
    private final Feed machine;
    private final Outgoing<FeedAction> out;
    private final Set<Integer> levelShards = new HashSet<>();
    private long lostUs;

    FeedLane(Cluster cluster, Node.Process owner) {
        this.cluster = cluster;
        this.owner = owner;
        machine = new Feed(ObserveSettings.usual(), owner.node().name, owner.node().region, cluster.configured);
        out = new Outgoing<>(owner, cluster.time, this::carry);
    }

    /** Whether all shards have said that they are level. */
    boolean level() {
        return levelShards.size() == cluster.shards;
    }

    /** When a shard last was not level, at or after the simulation's beginning. */
    long lostUs() {
        return lostUs;
    }

    /** Returns how many observers live, as this voter knows. */
    Map<String, Integer> lives() {
        return machine.lives(owner.node().clockUs());
    }

    void handle(FeedEvent event) {
        List<FeedAction> actions = new ArrayList<>();
        machine.handle(owner.node().clockUs(), event, actions::add);
        actions.forEach(action -> cluster.plant.leaving(owner.node(), action).forEach(out::add));
        out.drain();
    }

    void drain() {
        out.drain();
    }

    /** Slots have changed at a shard, and are on disk where there is one. */
    void changed(List<Slot> slots) {
        handle(new FeedEvent.Changed(slots));
    }

    /** A shard has said something to its process. */
    void carried(Node.Lane lane, CopyAction action) {
        if (action instanceof CopyAction.Acknowledged news) {
            handle(new FeedEvent.Acknowledged(news.id(), news.order()));
        } else if (action instanceof CopyAction.Refused news) {
            handle(new FeedEvent.Refused(news.id(), news.why()));
        } else if (action instanceof CopyAction.Level news) {
            boolean before = level();
            if (news.level()) {
                levelShards.add(lane.shard);
            } else {
                levelShards.remove(lane.shard);
                lostUs = cluster.time.nowUs();
            }
            if (level() != before) {
                handle(new FeedEvent.Level(level()));
            }
        }
    }

    private void carry(FeedAction action, long madeUs) {
        if (action instanceof FeedAction.Send send) {
            if (cluster.time.nowUs() - madeUs <= Node.LATE_US) {
                cluster.carry(this, send);
            }
        } else if (action instanceof FeedAction.Propose propose) {
            lane(propose.key().topic(), propose.key().subject()).handle(
                    new CopyEvent.Propose(propose.key(), propose.id(), propose.replaces(), propose.payload()));
        } else if (action instanceof FeedAction.Offer offer) {
            cluster.time.note("%s is offered %s", owner.node().name, offer.slots());
            offer.slots().stream().collect(Collectors.groupingBy(slot -> lane(slot.key().topic(), slot.key().subject()).shard))
                    .forEach((shard, slots) -> owner.lanes.get(shard).handle(new CopyEvent.Offered(slots)));
        }
    }

    private Node.Lane lane(String topic, String subject) {
        return owner.lanes.get(cluster.shardOf(topic, subject));
    }
}
