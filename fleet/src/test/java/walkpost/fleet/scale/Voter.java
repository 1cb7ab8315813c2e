package walkpost.fleet.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.KeyHash;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Life;
import walkpost.fleet.observe.Feed;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;

/** A process with a vote: membership, all shards, and a {@link Feed} where the fleet has observers. */
final class Voter extends Process {
    /** What a write to the directory takes; the lane's later events wait for it. */
    private static final long WRITE_US = 2 * Agenda.MS;

    private final List<Lane> lanes = new ArrayList<>();
    private final Feed feed;
    private final Deque<FeedAction> feedActions = new ArrayDeque<>();
    private final Set<String> observersOrders = new HashSet<>();
    private Set<String> others = Set.of();
    private boolean level;

    Voter(World world, Host host, Life life) {
        super(world, host, life);
        for (int shard = 0; shard < World.SHARDS; shard++) {
            lanes.add(new Lane(shard, new Shard(ShardSettings.defaults(), life, world.voters(), world.agenda().nextSeed())));
        }
        feed = world.hasObservers() ? new Feed(ObserveSettings.defaults(), host.name(), "region-" + host.region(), world.voters()) : null;
    }

    Feed feed() {
        return feed;
    }

    @Override
    void begin() {
        for (Lane lane : lanes) {
            List<Slot> slots = host().disk().values().stream().filter(slot -> shardOf(slot.key()) == lane.number).toList();
            if (!slots.isEmpty()) {
                lane.take(new ShardEvent.Restored(slots, host().awayUs(world().nowUs())));
            }
        }
        if (feed != null && !host().disk().isEmpty()) {
            handle(new FeedEvent.SlotsChanged(List.copyOf(host().disk().values())));
        }
        super.begin();
    }

    private static int shardOf(Order.Key key) {
        return KeyHash.shardOf(key.topic(), key.subject(), World.SHARDS);
    }

    @Override
    void peers(Map<String, Long> roundTripUs) {
        Map<String, Long> voters = new HashMap<>();
        roundTripUs.forEach((name, trip) -> {
            if (world().voters().contains(name)) {
                voters.put(name, trip);
            }
        });
        ShardEvent.LivePeers peers = new ShardEvent.LivePeers(voters);
        lanes.forEach(lane -> lane.take(peers));
        if (feed != null && !voters.keySet().equals(others)) {
            others = Set.copyOf(voters.keySet());
            handle(new FeedEvent.LiveVoters(others));
        }
    }

    @Override
    boolean concerns(String name) {
        return world().voters().contains(name);
    }

    @Override
    void ticked(long nowUs) {
        lanes.forEach(lane -> lane.take(new ShardEvent.Tick()));
        if (feed != null) {
            handle(new FeedEvent.Tick());
        }
    }

    @Override
    void received(String from, int shard, ShardMessage message) {
        lanes.get(shard).take(new ShardEvent.Received(from, message));
    }

    @Override
    void received(String from, ObserveMessage message) {
        if (feed != null) {
            handle(new FeedEvent.Received(from, message));
        }
    }

    @Override
    void tell(String topic, String subject, String payload) {
        lanes.get(KeyHash.shardOf(topic, subject, World.SHARDS)).take(new ShardEvent.WriteEntry(topic, subject, payload));
    }

    @Override
    void order(Order.Key key, String id, String replaces, String payload) {
        lanes.get(shardOf(key)).take(new ShardEvent.Propose(key, id, replaces, payload));
    }

    @Override
    boolean level() {
        return level;
    }

    @Override
    Map<Order.Key, EffectiveOrder> acting() {
        Map<Order.Key, EffectiveOrder> all = new HashMap<>();
        lanes.forEach(lane -> all.putAll(lane.shard.effectiveOrders()));
        return all;
    }

    private void levelMayHaveChanged() {
        boolean now = lanes.stream().allMatch(lane -> lane.shard.isCaughtUp());
        if (now != level) {
            level = now;
            if (feed != null) {
                handle(new FeedEvent.CaughtUpChanged(now));
            }
        }
    }

    private void handle(FeedEvent event) {
        long fromNs = System.nanoTime();
        feed.handle(world().nowUs(), event, feedActions::add);
        cost().machine(fromNs);
        while (!feedActions.isEmpty()) {
            FeedAction action = feedActions.remove();
            if (action instanceof FeedAction.Send send) {
                send(send.to(), send.message());
            } else if (action instanceof FeedAction.Propose propose) {
                observersOrders.add(propose.id());
                order(propose.key(), propose.id(), propose.replaces(), propose.payload());
            } else if (action instanceof FeedAction.OfferSlots offer) {
                Map<Integer, List<Slot>> byShard = new HashMap<>();
                offer.slots().forEach(slot -> byShard.computeIfAbsent(shardOf(slot.key()), shard -> new ArrayList<>()).add(slot));
                byShard.forEach((shard, slots) -> lanes.get(shard).take(new ShardEvent.SlotsOffered(slots)));
            }
        }
    }

    /** One shard: events wait while the disk writes, as they do in the shell. */
    private final class Lane {
        private final int number;
        private final Shard shard;
        private final List<ShardAction> actions = new ArrayList<>();
        private final Deque<ShardEvent> waiting = new ArrayDeque<>();
        private boolean writing;
        private boolean working;

        Lane(int number, Shard shard) {
            this.number = number;
            this.shard = shard;
        }

        void take(ShardEvent event) {
            waiting.add(event);
            work();
        }

        private void work() {
            if (working) {
                return;
            }
            working = true;
            while (!writing && !waiting.isEmpty()) {
                long fromNs = System.nanoTime();
                shard.handle(world().nowUs(), waiting.remove(), actions::add);
                cost().machine(fromNs);
                if (!actions.isEmpty()) {
                    carryOut();
                }
            }
            working = false;
        }

        private void carryOut() {
            List<ShardAction> due = List.copyOf(actions);
            actions.clear();
            if (world().directories() && due.stream().anyMatch(ShardAction.Persist.class::isInstance)) {
                writing = true;
                world().agenda().after(WRITE_US, () -> {
                    if (runs()) {
                        due.forEach(this::carryOut);
                        writing = false;
                        work();
                    }
                });
            } else {
                due.forEach(this::carryOut);
            }
        }

        private void carryOut(ShardAction action) {
            if (action instanceof ShardAction.Send send) {
                send(send.to(), number, send.message());
            } else if (action instanceof ShardAction.Persist persist) {
                persist(persist.slots());
            } else if (action instanceof ShardAction.EffectiveOrderChanged stands) {
                world().orders().stands(host(), stands.key(), stands.order());
            } else if (action instanceof ShardAction.CaughtUpChanged) {
                levelMayHaveChanged();
            } else if (action instanceof ShardAction.Acknowledged done) {
                if (observersOrders.contains(done.id())) {
                    handle(new FeedEvent.Acknowledged(done.id(), done.order()));
                } else {
                    world().orders().acknowledged(done.id(), done.order());
                }
            } else if (action instanceof ShardAction.Refused no) {
                if (observersOrders.contains(no.id())) {
                    handle(new FeedEvent.Refused(no.id(), no.why()));
                } else {
                    world().orders().refused(no.id(), no.why());
                }
            }
        }

        private void persist(List<Slot> slots) {
            if (world().directories()) {
                for (Slot slot : slots) {
                    if (slot.hasNoHistory()) {
                        host().disk().remove(slot.key());
                    } else {
                        host().disk().put(slot.key(), slot);
                    }
                }
            }
            if (feed != null) {
                handle(new FeedEvent.SlotsChanged(slots));
            }
        }
    }
}
