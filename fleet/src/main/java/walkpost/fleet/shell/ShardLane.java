package walkpost.fleet.shell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;

/**
 * Works one shard: events wait here, a thread of the fleet's pool at a time gives a group of them to the shard, under the shard's lock,
 * and carries out what comes of it, in order, once the lock is given back. What must be on disk holds up this shard, and no thread. The
 * next group is begun when the one before is carried out.
 */
final class ShardLane {
    /** Events that are taken under the lock in one go. */
    private static final int GROUP = 64;
    /** Messages that wait; a shard that is held up has the protocol bear their loss. */
    static final int MOST_MESSAGES = 1_000;
    /** Bytes of messages that wait. */
    static final int MOST_BYTES = 2 << 20;

    /** What a lane needs of the fleet; called by a thread of the pool, with no lock held. */
    interface Surroundings {
        /** Sends a message to the same shard of a member. */
        void send(int shard, String to, ShardMessage message);

        /** Slots have changed, and are on disk where there is one. */
        void changed(List<Slot> slots);

        /** A shard has caught up, or is not sure of it any more. */
        void level(int shard, boolean level);

        /** An order of this member's caller has come to its end. */
        void acknowledged(String id, Order order);

        /** An order of this member's caller has failed. */
        void refused(String id, FleetException why);
    }

    /** Something that waits since then: an event, with the bytes that it came in where it is a message, or else something to do. */
    private record Item(long atUs, ShardEvent event, int bytes, Runnable task) { }

    /** An action, and when the event that it came from was handled. */
    private record Due(long atUs, ShardAction action) { }

    private final int number;
    private final Shard shard;
    private final String self;
    private final Clock clock;
    private final Counters counters;
    private final Executor pool;
    private final Directory directory;
    private final Surroundings surroundings;
    /** Guards the shard. */
    private final Lock lock = new ReentrantLock();

    /** Guarded by itself, as are the next six. */
    private final Queue<Item> inbox = new ArrayDeque<>();
    private int messages;
    private int bytes;
    private boolean tick;
    private ShardEvent.LivePeers peers;
    private boolean running;
    private boolean over;

    /** Who hears of this shard: theirs who has the lane's turn, like the next two. */
    private final List<Outlet> outlets = new ArrayList<>();
    private final Map<Order.Key, EffectiveOrder> stood = new LinkedHashMap<>();
    private final Set<String> topics = new HashSet<>();

    /** @param directory null where orders are in memory only */
    ShardLane(int number, Shard shard, String self, Clock clock, Counters counters, Executor pool, Directory directory,
            Surroundings surroundings) {
        this.number = number;
        this.shard = shard;
        this.self = self;
        this.clock = clock;
        this.counters = counters;
        this.pool = pool;
        this.directory = directory;
        this.surroundings = surroundings;
    }

    /** Takes an event of this member's own. */
    void offer(ShardEvent event) {
        put(new Item(clock.nowUs(), event, 0, null));
    }

    /** Takes a message of so many bytes, unless too much waits already. */
    void offer(ShardEvent.Received message, int length) {
        put(new Item(clock.nowUs(), message, length, null));
    }

    /** Takes a tick; one that waits is enough, as the shard reads the clock. */
    void tick() {
        synchronized (inbox) {
            tick = true;
        }
        start();
    }

    /** Takes who lives; only the latest counts. */
    void peers(ShardEvent.LivePeers now) {
        synchronized (inbox) {
            peers = now;
        }
        start();
    }

    private void put(Item item) {
        synchronized (inbox) {
            if (item.bytes > 0) {
                if (messages >= MOST_MESSAGES || bytes + item.bytes > MOST_BYTES) {
                    counters.dropped("shard_full");
                    return;
                }
                messages++;
                bytes += item.bytes;
            }
            inbox.add(item);
        }
        start();
    }

    private void start() {
        synchronized (inbox) {
            if (running || over) {
                return;
            }
            running = true;
        }
        again();
    }

    /** Goes on when a thread of the pool has time, so that other shards have their turns. */
    private void again() {
        try {
            pool.execute(this::turn);
        } catch (RejectedExecutionException e) {
            synchronized (inbox) {
                over = true;
                inbox.clear();
            }
        }
    }

    private void turn() {
        List<Item> items = taken();
        if (items.isEmpty()) {
            return;
        }
        List<Due> due = handled(items);
        Map<Order.Key, Slot> slots = new LinkedHashMap<>();
        for (Due one : due) {
            if (directory != null && one.action instanceof ShardAction.Persist persist) {
                persist.slots().forEach(slot -> slots.put(slot.key(), slot));
            }
        }
        if (slots.isEmpty()) {
            finish(due, items);
            return;
        }
        // All slots of a group go to the disk before the first action: earlier than they must, and with one wait for it.
        directory.persist(List.copyOf(slots.values())).whenComplete((kept, refused) -> {
            if (refused == null) {
                try {
                    pool.execute(() -> finish(due, items));
                } catch (RejectedExecutionException e) {
                    again();
                }
            }
        });
    }

    private void finish(List<Due> due, List<Item> items) {
        for (Due one : due) {
            try {
                carryOut(one);
            } catch (RuntimeException e) {
                failed(e, one.action);
            }
        }
        items.stream().filter(item -> item.task != null).forEach(item -> item.task.run());
        again();
    }

    /** Returns what waits, up to a group and to the first thing to do, which is only done when all before it is carried out. */
    private List<Item> taken() {
        var items = new ArrayList<Item>();
        synchronized (inbox) {
            while (items.size() < GROUP && !inbox.isEmpty()) {
                Item item = inbox.poll();
                items.add(item);
                if (item.bytes > 0) {
                    messages--;
                    bytes -= item.bytes;
                }
                if (item.task != null) {
                    return items;
                }
            }
            if (peers != null) {
                items.add(new Item(clock.nowUs(), peers, 0, null));
                peers = null;
            }
            if (tick) {
                items.add(new Item(clock.nowUs(), new ShardEvent.Tick(), 0, null));
                tick = false;
            }
            running = !items.isEmpty();
        }
        return items;
    }

    private List<Due> handled(List<Item> items) {
        var due = new ArrayList<Due>();
        lock.lock();
        try {
            for (Item item : items) {
                long nowUs = clock.nowUs();
                if (item.event != null) {
                    var actions = new ArrayList<ShardAction>();
                    ShardEvent event = item.event instanceof ShardEvent.Received received
                            ? new ShardEvent.Received(received.from(), Ages.aged(received.message(), nowUs - item.atUs)) : item.event;
                    try {
                        shard.handle(nowUs, event, actions::add);
                    } catch (RuntimeException e) {
                        failed(e, event);
                    }
                    actions.forEach(action -> due.add(new Due(nowUs, action)));
                }
            }
        } finally {
            lock.unlock();
        }
        return due;
    }

    private void failed(RuntimeException cause, Object what) {
        counters.add("failures", 1);
        Log.failure("machine_failed", cause, "machine", "shard " + number, "event", what.getClass().getSimpleName());
    }

    private void carryOut(Due due) {
        if (due.action instanceof ShardAction.Send send) {
            long waitedUs = clock.nowUs() - due.atUs;
            if (waitedUs > Ages.LATE_US) {
                counters.dropped("late");
            } else {
                surroundings.send(number, send.to(), Ages.aged(send.message(), waitedUs));
            }
        } else if (due.action instanceof ShardAction.Persist persist) {
            surroundings.changed(persist.slots());
        } else if (due.action instanceof ShardAction.Acknowledged acknowledged) {
            surroundings.acknowledged(acknowledged.id(), acknowledged.order());
        } else if (due.action instanceof ShardAction.Refused refused) {
            surroundings.refused(refused.id(), refused.why());
        } else if (due.action instanceof ShardAction.EffectiveOrderChanged stands) {
            if (stands.order().payload() == null && stands.order().rivals().isEmpty()) {
                stood.remove(stands.key());
            } else {
                stood.put(stands.key(), stands.order());
            }
            tell(listener -> listener.effectiveOrderChanged(stands.key(), stands.order()));
        } else if (due.action instanceof ShardAction.EntryReceived heard) {
            topics.add(heard.entry().key().topic());
            tell(listener -> listener.entryReceived(heard.entry()));
        } else if (due.action instanceof ShardAction.EntryStale stale) {
            Entry.Key key = stale.key();
            Log.warn("fact_stale", "topic", key.topic(), "subject", key.subject(), "writer", key.writer(), "age_ms", stale.ageUs() / 1_000);
            tell(listener -> listener.stale(key));
        } else if (due.action instanceof ShardAction.CaughtUpChanged caughtUp) {
            surroundings.level(number, caughtUp.caughtUp());
        }
    }

    private void tell(Consumer<FleetListener> event) {
        outlets.forEach(outlet -> outlet.put(event));
    }

    /** Tells a listener of what was told of already, in the order of events, and of all that comes from now on. */
    void listen(Outlet outlet, ToLongFunction<String> boundUs) {
        put(new Item(clock.nowUs(), null, 0, () -> {
            stood.forEach((key, acting) -> outlet.put(listener -> listener.effectiveOrderChanged(key, acting)));
            for (String topic : topics) {
                for (Entry entry : entries(topic)) {
                    if (!entry.key().writer().equals(self)) {
                        outlet.put(listener -> listener.entryReceived(entry));
                        if (entry.ageUs() > boundUs.applyAsLong(topic)) {
                            outlet.put(listener -> listener.stale(entry.key()));
                        }
                    }
                }
            }
            outlets.add(outlet);
        }));
    }

    List<Entry> entries(String topic) {
        lock.lock();
        try {
            return List.copyOf(shard.entries(topic, clock.nowUs()));
        } finally {
            lock.unlock();
        }
    }

    Map<String, Long> figures() {
        lock.lock();
        try {
            return shard.counters();
        } finally {
            lock.unlock();
        }
    }

    Map<Order.Key, EffectiveOrder> acting() {
        lock.lock();
        try {
            return Map.copyOf(shard.effectiveOrders());
        } finally {
            lock.unlock();
        }
    }
}
