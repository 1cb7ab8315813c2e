package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Members on one clock and a network that loses, delays, doubles and reorders datagrams, all from one seed. What is large arrives. */
final class VirtualNetwork {
    static final long PERIOD = MemberSettings.defaults().periodUs();
    private static final long TICK = 50_000;

    /** A change of what one member holds of another, or of itself. */
    record Change(long atUs, String at, Member member) { }

    /** One process: a member, and whether it is stopped. What comes for a stopped one waits in its sockets. */
    static final class Node {
        final Membership machine;
        final Address address;
        final String name;
        private final List<Runnable> waiting = new ArrayList<>();
        private boolean stopped;
        private boolean gone;

        private Node(Membership machine, Life life, Address address) {
            this.machine = machine;
            this.address = address;
            name = life.name();
        }

        Member held(String other) {
            return machine.members().stream().filter(m -> m.life().name().equals(other)).findFirst().orElse(null);
        }

        boolean holds(String other, Standing standing) {
            Member member = held(other);
            return member != null && member.standing() == standing;
        }
    }

    private record Due(long atUs, long order, Runnable what) { }

    final List<Change> changes = new ArrayList<>();
    /** Whatever is sent, from when on this is set. */
    List<MemberAction.SendTo> sent;
    final Map<Address, Node> nodes = new LinkedHashMap<>();
    double loss;
    BiPredicate<Address, Address> cut = (from, to) -> false;
    private final PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));
    private final UniformRandomProvider random;
    private final MemberSettings settings;
    private long nowUs;
    private long order;
    private int born;

    VirtualNetwork(long seed, MemberSettings settings) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.settings = settings;
    }

    /** Returns a network with so many members, n0 and up, all of which know of each other. */
    static VirtualNetwork of(int members, long seed, MemberSettings settings) {
        var network = new VirtualNetwork(seed, settings);
        for (int i = 0; i < members; i++) {
            network.start("n" + i, 1_000 + i, at(i), List.of(at(0), at(1)));
        }
        network.run(20);
        network.changes.clear();
        return network;
    }

    static Address at(int host) {
        return new Address("127.1.0." + host, 7_401);
    }

    Node node(int host) {
        return nodes.get(at(host));
    }

    long nowUs() {
        return nowUs;
    }

    Node start(String name, long incarnation, Address at, List<Address> seeds) {
        Life life = new Life(name, incarnation);
        Node node = new Node(new Membership(settings, life, at, seeds, random.nextLong()), life, at);
        nodes.put(at, node);
        born++;
        long phase = born * 7_919L % TICK;
        schedule(phase, () -> ticks(node));
        return node;
    }

    /** Ends a process at once: nobody is told. */
    void kill(Node node) {
        node.gone = true;
        nodes.remove(node.address, node);
    }

    void stop(Node node) {
        node.stopped = true;
    }

    /** Lets a stopped process go on: what waited in its sockets comes first. */
    void goOn(Node node) {
        node.stopped = false;
        List<Runnable> waited = List.copyOf(node.waiting);
        node.waiting.clear();
        waited.forEach(Runnable::run);
    }

    void give(Node node, MemberEvent event) {
        if (!node.gone) {
            node.machine.handle(nowUs, event, action -> carryOut(node, action));
        }
    }

    void run(int periods) {
        until(periods, () -> false);
    }

    /** Runs until something holds; returns after how many periods, or the given number and one where it never did. */
    int until(int periods, BooleanSupplier holds) {
        for (int i = 0; i <= periods; i++) {
            if (holds.getAsBoolean()) {
                return i;
            }
            long end = nowUs + PERIOD;
            while (!queue.isEmpty() && queue.peek().atUs <= end) {
                Due due = queue.poll();
                nowUs = due.atUs;
                due.what.run();
            }
            nowUs = end;
        }
        return periods + 1;
    }

    /** Returns whether each member holds everyone who runs for alive, and nobody else. */
    boolean agreed() {
        return nodes.values().stream().allMatch(n -> n.machine.members().stream().filter(m -> m.standing() == Standing.ALIVE).count()
                == nodes.size() && nodes.values().stream().allMatch(o -> n.holds(o.name, Standing.ALIVE)));
    }

    boolean everybodyHolds(String name, Standing standing) {
        return nodes.values().stream().filter(n -> !n.name.equals(name)).allMatch(n -> n.holds(name, standing));
    }

    long deaths(Predicate<Change> which) {
        return changes.stream().filter(c -> c.member.standing() == Standing.DEAD).filter(which).count();
    }

    private void ticks(Node node) {
        if (node.gone) {
            return;
        }
        if (!node.stopped) {
            give(node, new MemberEvent.Tick());
        }
        schedule(TICK, () -> ticks(node));
    }

    private void carryOut(Node node, MemberAction action) {
        if (action instanceof MemberAction.Changed changed) {
            changes.add(new Change(nowUs, node.name, changed.member()));
            return;
        }
        var send = (MemberAction.SendTo) action;
        if (sent != null) {
            sent.add(send);
        }
        int copies = send.large() ? 1 : random.nextDouble() < loss ? 0 : random.nextDouble() < loss / 10 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!cut.test(node.address, send.to())) {
                schedule(100 + random.nextLong(10_000), () -> arrive(node.address, send));
            }
        }
    }

    private void arrive(Address from, MemberAction.SendTo send) {
        Node node = nodes.get(send.to());
        if (node == null) {
            return;
        }
        Runnable read = () -> give(node, new MemberEvent.Received(from, send.message()));
        if (node.stopped) {
            node.waiting.add(read);
        } else {
            read.run();
        }
    }

    private void schedule(long afterUs, Runnable what) {
        queue.add(new Due(nowUs + afterUs, order++, what));
    }
}
