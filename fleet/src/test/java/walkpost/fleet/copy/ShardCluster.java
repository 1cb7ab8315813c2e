package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import walkpost.fleet.FleetException;
import walkpost.fleet.member.Life;

/**
 * Members with one shard each, on a simulated clock and network. Each message is encoded to CBOR and decoded again, must stay below 32 KiB,
 * and arrives after a millisecond.
 */
final class ShardCluster {
    private static final ObjectMapper CBOR = new CBORMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private static final long MS = 1_000;

    /** A message in transit; the number orders messages that arrive at the same time. */
    record Flight(long atUs, long number, String from, String to, ShardMessage message) { }

    /** A member: its shard, its simulated disk, and the actions that its shard has reported. */
    final class Node {
        final String name;
        final Map<Order.Key, Slot> disk = new TreeMap<>(Comparator.comparing(Order.Key::toString));
        final Map<String, Order> acknowledged = new HashMap<>();
        final Map<String, FleetException> refused = new HashMap<>();
        final Map<Order.Key, List<EffectiveOrder>> effectiveOrders = new HashMap<>();
        final List<Entry> receivedEntries = new ArrayList<>();
        final List<Entry.Key> staleEntries = new ArrayList<>();
        final Deque<Runnable> inbox = new ArrayDeque<>();
        final Deque<ShardAction> pendingActions = new ArrayDeque<>();
        Shard shard;
        boolean suspended;
        /** Keeps back the actions of the shard, as if the process were slow to carry them out. */
        boolean actionsPaused;
        long life;

        Node(String name) {
            this.name = name;
            start();
        }

        void start() {
            shard = new Shard(settings, new Life(name, ++life), configured, seed + 31L * name.hashCode() + life);
        }

        /** Restarts the member with a new incarnation, from the slots on its disk. */
        void restart(long awayUs) {
            inbox.clear();
            start();
            handle(new ShardEvent.Restored(List.copyOf(disk.values()), awayUs));
            handle(new ShardEvent.LivePeers(peers(name)));
        }

        /** Hands an event to the shard and carries out its actions, unless they are paused. */
        void handle(ShardEvent event) {
            shard.handle(nowUs, event, pendingActions::add);
            carryOutActions();
        }

        void carryOutActions() {
            while (!actionsPaused && !pendingActions.isEmpty()) {
                carryOutAction(pendingActions.remove());
            }
        }

        private void carryOutAction(ShardAction action) {
            if (action instanceof ShardAction.Send send) {
                transmit(name, send.to(), send.message());
            } else if (action instanceof ShardAction.Persist persist) {
                for (Slot slot : persist.slots()) {
                    if (slot.hasNoHistory()) {
                        disk.remove(slot.key());
                    } else {
                        disk.put(slot.key(), slot);
                    }
                }
            } else if (action instanceof ShardAction.Acknowledged done) {
                acknowledged.put(done.id(), done.order());
            } else if (action instanceof ShardAction.Refused failed) {
                refused.put(failed.id(), failed.why());
            } else if (action instanceof ShardAction.EffectiveOrderChanged changed) {
                effectiveOrders.computeIfAbsent(changed.key(), key -> new ArrayList<>()).add(changed.order());
            } else if (action instanceof ShardAction.EntryReceived received) {
                receivedEntries.add(received.entry());
            } else if (action instanceof ShardAction.EntryStale stale) {
                staleEntries.add(stale.key());
            }
        }

        void order(Order.Key key, String id, String replaces, String payload) {
            acknowledged.remove(id);
            refused.remove(id);
            handle(new ShardEvent.Propose(key, id, replaces, payload));
        }

        /** Returns the ids of the decided orders for a key that no other order has replaced. */
        List<String> heads(Order.Key key) {
            return shard.slots().stream().filter(slot -> slot.key().equals(key)).flatMap(slot -> SlotMerge.headIds(slot).stream()).toList();
        }
    }

    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> isolated = new HashSet<>();
    Predicate<Flight> lost = flight -> false;
    long nowUs = -7_000 * MS;
    private final ShardSettings settings;
    private final Set<String> configured;
    private final long seed;
    private final PriorityQueue<Flight> flights =
            new PriorityQueue<>(Comparator.comparingLong(Flight::atUs).thenComparingLong(Flight::number));
    private long flightCount;

    ShardCluster(int size, ShardSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < size; i++) {
            names.add(size > 26 ? "n" + i : String.valueOf((char) ('a' + i)));
        }
        configured = names;
        names.forEach(name -> nodes.put(name, new Node(name)));
        nodes.values().forEach(node -> node.handle(new ShardEvent.LivePeers(peers(node.name))));
    }

    ShardCluster(int size) {
        this(size, ShardSettings.defaults(), 7);
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** Advances the clock by {@code ms}, delivers messages, and ticks all running members every 50 ms. */
    void run(long ms) {
        for (long end = nowUs + ms * MS; nowUs < end; nowUs += MS) {
            while (!flights.isEmpty() && flights.peek().atUs() <= nowUs) {
                Flight flight = flights.remove();
                deliver(flight.to(), new ShardEvent.Received(flight.from(), flight.message()));
            }
            if (nowUs % (50 * MS) == 0) {
                nodes.values().stream().filter(node -> !node.suspended).forEach(node -> node.handle(new ShardEvent.Tick()));
            }
        }
    }

    /** Suspends a member's process; messages to it wait in its inbox. */
    void suspend(String name) {
        node(name).suspended = true;
    }

    /** Resumes a suspended member, which receives the waiting messages first. */
    void resume(String name) {
        Node node = node(name);
        node.suspended = false;
        while (!node.inbox.isEmpty()) {
            node.inbox.remove().run();
        }
    }

    /** Isolates members: all messages from and to them are lost. */
    void isolate(String... names) {
        isolated.addAll(List.of(names));
    }

    /** Ends all isolation and message loss. */
    void heal() {
        isolated.clear();
        lost = flight -> false;
    }

    Map<String, Long> peers(String of) {
        Map<String, Long> peers = new TreeMap<>();
        configured.stream().filter(name -> !name.equals(of)).forEach(name -> peers.put(name, 2 * MS));
        return peers;
    }

    private void transmit(String from, String to, ShardMessage message) {
        Flight flight = new Flight(nowUs + MS, ++flightCount, from, to, encodeAndDecode(message));
        boolean cutOff = isolated.contains(from) || isolated.contains(to);
        if (!cutOff && !lost.test(flight) && nodes.containsKey(to)) {
            flights.add(flight);
        }
    }

    private void deliver(String to, ShardEvent event) {
        Node node = node(to);
        if (node.suspended) {
            node.inbox.add(() -> node.handle(event));
        } else {
            node.handle(event);
        }
    }

    private ShardMessage encodeAndDecode(ShardMessage message) {
        try {
            byte[] bytes = CBOR.writerFor(ShardMessage.class).writeValueAsBytes(message);
            assertThat(bytes.length).isLessThan(32 * 1024);
            return CBOR.readValue(bytes, ShardMessage.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
