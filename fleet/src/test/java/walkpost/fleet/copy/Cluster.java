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

/** Shards on a clock and a network of the test's own. Each message goes through CBOR, has to stay below 32 KiB, and takes a millisecond. */
final class Cluster {
    private static final ObjectMapper CBOR = new CBORMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private static final long MS = 1_000;

    record Flight(long atUs, long number, String from, String to, CopyMessage message) { }

    final class Node {
        final String name;
        final Map<Order.Key, Slot> disk = new TreeMap<>(Comparator.comparing(Order.Key::toString));
        final Map<String, Order> acknowledged = new HashMap<>();
        final Map<String, FleetException> refused = new HashMap<>();
        final Map<Order.Key, List<Acting>> stands = new HashMap<>();
        final List<Fact> heard = new ArrayList<>();
        final List<Fact.Key> stale = new ArrayList<>();
        final Deque<Runnable> inbox = new ArrayDeque<>();
        final Deque<CopyAction> held = new ArrayDeque<>();
        Shard shard;
        boolean stopped;
        boolean holdActions;
        long life;

        Node(String name) {
            this.name = name;
            start();
        }

        void start() {
            shard = new Shard(settings, new Life(name, ++life), configured, seed + 31L * name.hashCode() + life);
        }

        /** Starts again with a new life, from what is on disk. */
        void restart(long awayUs) {
            inbox.clear();
            start();
            take(new CopyEvent.Restored(List.copyOf(disk.values()), awayUs));
            take(new CopyEvent.Peers(peers(name)));
        }

        void take(CopyEvent event) {
            shard.handle(nowUs, event, held::add);
            carryOut();
        }

        void carryOut() {
            while (!holdActions && !held.isEmpty()) {
                carryOut(held.remove());
            }
        }

        private void carryOut(CopyAction action) {
            if (action instanceof CopyAction.Send send) {
                fly(name, send.to(), send.message());
            } else if (action instanceof CopyAction.Persist persist) {
                for (Slot slot : persist.slots()) {
                    if (slot.none()) {
                        disk.remove(slot.key());
                    } else {
                        disk.put(slot.key(), slot);
                    }
                }
            } else if (action instanceof CopyAction.Acknowledged done) {
                acknowledged.put(done.id(), done.order());
            } else if (action instanceof CopyAction.Refused no) {
                refused.put(no.id(), no.why());
            } else if (action instanceof CopyAction.Stands what) {
                stands.computeIfAbsent(what.key(), key -> new ArrayList<>()).add(what.acting());
            } else if (action instanceof CopyAction.Heard fact) {
                heard.add(fact.fact());
            } else if (action instanceof CopyAction.Stale fact) {
                stale.add(fact.key());
            }
        }

        void order(Order.Key key, String id, String replaces, String payload) {
            acknowledged.remove(id);
            refused.remove(id);
            take(new CopyEvent.Propose(key, id, replaces, payload));
        }

        List<String> heads(Order.Key key) {
            return shard.slots().stream().filter(slot -> slot.key().equals(key)).flatMap(slot -> SlotRule.ids(slot).stream()).toList();
        }
    }

    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> away = new HashSet<>();
    Predicate<Flight> lost = flight -> false;
    long nowUs = -7_000 * MS;
    private final CopySettings settings;
    private final Set<String> configured;
    private final long seed;
    private final PriorityQueue<Flight> flights =
            new PriorityQueue<>(Comparator.comparingLong(Flight::atUs).thenComparingLong(Flight::number));
    private long number;

    Cluster(int size, CopySettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < size; i++) {
            names.add(size > 26 ? "n" + i : String.valueOf((char) ('a' + i)));
        }
        configured = names;
        names.forEach(name -> nodes.put(name, new Node(name)));
        nodes.values().forEach(node -> node.take(new CopyEvent.Peers(peers(node.name))));
    }

    Cluster(int size) {
        this(size, CopySettings.usual(), 7);
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** Lets time pass; 50 ms go by from tick to tick. */
    void run(long ms) {
        for (long end = nowUs + ms * MS; nowUs < end; nowUs += MS) {
            while (!flights.isEmpty() && flights.peek().atUs() <= nowUs) {
                Flight flight = flights.remove();
                deliver(flight.to(), new CopyEvent.Received(flight.from(), flight.message()));
            }
            if (nowUs % (50 * MS) == 0) {
                nodes.values().stream().filter(node -> !node.stopped).forEach(node -> node.take(new CopyEvent.Tick()));
            }
        }
    }

    /** The process stands still from now on; what comes waits in its socket. */
    void stop(String name) {
        node(name).stopped = true;
    }

    void go(String name) {
        Node node = node(name);
        node.stopped = false;
        while (!node.inbox.isEmpty()) {
            node.inbox.remove().run();
        }
    }

    /** No message comes to or goes from these. */
    void cut(String... names) {
        away.addAll(List.of(names));
    }

    void heal() {
        away.clear();
        lost = flight -> false;
    }

    Map<String, Long> peers(String of) {
        Map<String, Long> peers = new TreeMap<>();
        configured.stream().filter(name -> !name.equals(of)).forEach(name -> peers.put(name, 2 * MS));
        return peers;
    }

    private void fly(String from, String to, CopyMessage message) {
        Flight flight = new Flight(nowUs + MS, ++number, from, to, copy(message));
        boolean cut = away.contains(from) || away.contains(to);
        if (!cut && !lost.test(flight) && nodes.containsKey(to)) {
            flights.add(flight);
        }
    }

    private void deliver(String to, CopyEvent event) {
        Node node = node(to);
        if (node.stopped) {
            node.inbox.add(() -> node.take(event));
        } else {
            node.take(event);
        }
    }

    private CopyMessage copy(CopyMessage message) {
        try {
            byte[] bytes = CBOR.writerFor(CopyMessage.class).writeValueAsBytes(message);
            assertThat(bytes.length).isLessThan(32 * 1024);
            return CBOR.readValue(bytes, CopyMessage.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
