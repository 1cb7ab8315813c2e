package walkpost.fleet.shell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.BadCall;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.FleetException.NotLevel;
import walkpost.fleet.FleetException.Uncertain;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.KeyHash;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Life;

/** A member with a vote: works the shards, keeps orders on disk where it is told to, and feeds observers where the file has voters. */
final class VotingPart implements Part {
    private static final int END_S = 2;

    private final FleetFile file;
    private final Counters counters;
    private final Transport transport;
    private final Workers workers;
    private final Sender sender;
    private final Store store;
    private final Clock clock = Clock.MONOTONIC;
    private final List<ShardLane> shards = new ArrayList<>();
    /** Null where all members vote. */
    private final FeedLane feed;
    private final Callers callers = new Callers();
    private volatile boolean closed;
    private volatile boolean level;
    /** Until when this member was level; only of meaning while it is not. */
    private volatile Long levelUntilUs;

    // The loop's from here on.
    private final boolean[] shardLevel;
    private final List<Outlet> outlets = new ArrayList<>();

    /** @param seeds of random choices, one after the other */
    VotingPart(FleetFile file, Life self, ShardSettings copySettings, Store store, Counters counters, Transport transport, Workers workers,
            Sender sender, LongSupplier seeds) {
        this.file = file;
        this.counters = counters;
        this.transport = transport;
        this.workers = workers;
        this.sender = sender;
        this.store = store;
        shardLevel = new boolean[file.shards()];
        ShardSettings settings = copySettings.withStalenessBounds(file.bounds(), FleetFile.OTHER_BOUND_US);
        for (int i = 0; i < file.shards(); i++) {
            var shard = new Shard(settings, self, Set.copyOf(file.configured()), seeds.getAsLong());
            shards.add(new ShardLane(i, shard, file.name(), clock, counters, workers, store.directory(), new Around()));
        }
        feed = file.voters().isEmpty() ? null : new FeedLane(file, clock, counters, workers, sender, new ForFeed());
    }

    @Override
    public void start() {
        store.onChange(() -> transport.onLoop(this::levelChanged));
        if (store.directory() == null) {
            return;
        }
        List<Slot> slots = store.restored(file);
        if (feed != null) {
            // A shard takes what was restored for kept, and does not ask for it to be put on disk.
            feed.changed(slots);
        }
        for (int i = 0; i < shards.size(); i++) {
            shards.get(i).offer(new ShardEvent.Restored(of(i, slots), store.directory().awayUs()));
        }
    }

    private List<Slot> of(int shard, List<Slot> slots) {
        return slots.stream().filter(slot -> shardOf(slot.key().topic(), slot.key().subject()) == shard).toList();
    }

    private int shardOf(String topic, String subject) {
        return KeyHash.shardOf(topic, subject, shards.size());
    }

    @Override
    public void tick() {
        shards.forEach(ShardLane::tick);
        callers.tick(this::uncertain);
        if (feed != null) {
            feed.tick();
        }
    }

    @Override
    public void peers(ShardEvent.LivePeers now) {
        ShardEvent.LivePeers voting = now;
        if (feed != null) {
            var voters = new HashMap<>(now.roundTripUs());
            voters.keySet().retainAll(file.voters());
            voting = new ShardEvent.LivePeers(voters);
            feed.peers(voting);
        }
        for (ShardLane shard : shards) {
            shard.peers(voting);
        }
    }

    @Override
    public void received(Envelope envelope, int length) {
        String from = envelope.from().name();
        if (envelope.observe() != null) {
            if (feed == null) {
                counters.dropped("no_feed");
            } else {
                feed.received(from, envelope.observe(), length);
            }
        } else if (feed != null && !file.voters().contains(from)) {
            counters.dropped("no_voter");
        } else {
            shards.get(envelope.shard()).offer(new ShardEvent.Received(from, envelope.copy()), length);
        }
    }

    /** What the shards' lanes call, on a thread of the pool. */
    private final class Around implements ShardLane.Surroundings {
        @Override
        public void send(int shard, String to, ShardMessage message) {
            sender.send(shard, to, message);
        }

        @Override
        public void changed(List<Slot> slots) {
            if (feed != null) {
                feed.changed(slots);
            }
        }

        @Override
        public void level(int shard, boolean now) {
            transport.onLoop(() -> {
                shardLevel[shard] = now;
                levelChanged();
            });
        }

        @Override
        public void acknowledged(String id, Order order) {
            Log.info("order_acknowledged", "id", id, "topic", order.key().topic(), "subject", order.key().subject(),
                    "version", order.version());
            callers.acknowledged(id, order);
            if (feed != null) {
                feed.acknowledged(id, order);
            }
        }

        @Override
        public void refused(String id, FleetException why) {
            Log.warn("order_refused", "id", id, "error", why.getClass().getSimpleName(), "reason", why.getMessage());
            callers.refused(id, why);
            if (feed != null) {
                feed.refused(id, why);
            }
        }
    }

    /** What the observers' lane calls, on a thread of the pool. */
    private final class ForFeed implements FeedLane.Shards {
        @Override
        public void propose(Order.Key key, String id, String replaces, String payload) {
            BadDirectory reason = store.trouble();
            if (reason != null) {
                feed.refused(id, reason);
            } else {
                shards.get(shardOf(key.topic(), key.subject())).offer(new ShardEvent.Propose(key, id, replaces, payload));
            }
        }

        @Override
        public List<Entry> own(String topic) {
            return copied(topic).stream().filter(entry -> entry.key().writer().equals(file.name())).toList();
        }

        @Override
        public void offer(List<Slot> slots) {
            for (int i = 0; i < shards.size(); i++) {
                List<Slot> those = of(i, slots);
                if (!those.isEmpty()) {
                    shards.get(i).offer(new ShardEvent.SlotsOffered(those));
                }
            }
        }
    }

    private void levelChanged() {
        boolean now = store.trouble() == null;
        for (boolean one : shardLevel) {
            now &= one;
        }
        if (now == level) {
            return;
        }
        levelUntilUs = clock.nowUs();
        level = now;
        store.level(now);
        if (now) {
            Log.info("level");
        } else {
            Log.warn("level_lost", "members", sender.members());
        }
        if (feed != null) {
            feed.level(now);
        }
        boolean told = now;
        outlets.forEach(outlet -> outlet.put(listener -> listener.caughtUpChanged(told)));
    }

    @Override
    public void listen(Outlet outlet) {
        boolean now = level;
        outlet.put(l -> l.caughtUpChanged(now));
        outlets.add(outlet);
        shards.forEach(shard -> shard.listen(outlet, file::boundUs));
    }

    @Override
    public void writeEntry(String topic, String subject, String payload) {
        shards.get(shardOf(topic, subject)).offer(new ShardEvent.WriteEntry(topic, subject, payload));
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        BadDirectory reason = store.trouble();
        if (reason != null) {
            return CompletableFuture.failedFuture(reason);
        }
        if (closed) {
            return CompletableFuture.failedFuture(new NotLevel(file.name(), 0, file.configured().size() / 2 + 1));
        }
        CompletableFuture<Order> answer = callers.add(id);
        shards.get(shardOf(key.topic(), key.subject())).offer(new ShardEvent.Propose(key, id, replaces, payload));
        if (closed) {
            callers.end(this::uncertain);
        }
        return answer;
    }

    /** The truth about an order that no answer came for: nobody here knows how far it got. */
    private FleetException uncertain(String id) {
        return new Uncertain(id, file.configured().stream().filter(name -> !name.equals(file.name())).toList());
    }

    @Override
    public boolean isCaughtUp() {
        return level;
    }

    @Override
    public Map<Order.Key, EffectiveOrder> orders() {
        var all = new HashMap<Order.Key, EffectiveOrder>();
        shards.forEach(shard -> all.putAll(shard.acting()));
        return Map.copyOf(all);
    }

    @Override
    public CompletionStage<TopicEntries> entries(String topic) {
        return feed == null ? CompletableFuture.completedFuture(new TopicEntries(copied(topic), List.of())) : feed.entries(topic);
    }

    private List<Entry> copied(String topic) {
        return shards.stream().flatMap(shard -> shard.entries(topic).stream()).toList();
    }

    @Override
    public CompletionStage<Coverage> held(Order.Key key, String id) {
        return feed == null
                ? CompletableFuture.failedFuture(new BadCall("all members of this fleet vote: nobody counts who holds an order"))
                : feed.held(key, id);
    }

    @Override
    public long controlAgeUs() {
        Long until = levelUntilUs;
        return level ? 0 : until == null ? FleetHandle.NEVER_US : Math.max(0, clock.nowUs() - until);
    }

    @Override
    public Map<String, Integer> lives() {
        return feed == null ? Map.of() : feed.lives();
    }

    @Override
    public List<String> feeds() {
        return List.of();
    }

    @Override
    public Map<String, Long> figures() {
        var all = new TreeMap<String, Long>();
        shards.forEach(shard -> shard.figures().forEach((name, count) -> all.merge(name, count, Long::sum)));
        if (feed != null) {
            feed.figures().forEach((name, count) -> all.merge(name, count, Long::sum));
        }
        return all;
    }

    @Override
    public void close() {
        closed = true;
        try {
            workers.end(END_S);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }

    @Override
    public void end() {
        callers.end(this::uncertain);
        if (feed != null) {
            feed.end();
        }
    }
}
