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

/**
 * A simulated network of members on one virtual clock. It loses, delays, duplicates and reorders datagrams at random, all from one seed.
 * Large messages are delayed only, because they go over connections. Single-threaded.
 */
final class VirtualNetwork {
    static final long PERIOD_US = MemberSettings.defaults().periodUs();
    private static final long TICK_US = 50_000;

    /** A change in the view that one member, the observer, has of another member or of itself. */
    record Change(long timeUs, String observer, Member member) { }

    /** A process with one member. Messages that arrive while the process is paused wait in its sockets. */
    static final class Node {
        final Membership membership;
        final Address address;
        final String name;
        private final List<Runnable> waitingMessages = new ArrayList<>();
        private boolean paused;
        private boolean killed;

        private Node(Membership membership, Life life, Address address) {
            this.membership = membership;
            this.address = address;
            name = life.name();
        }

        Member viewOf(String other) {
            return membership.members().stream().filter(member -> member.life().name().equals(other)).findFirst().orElse(null);
        }

        boolean holds(String other, Standing standing) {
            Member member = viewOf(other);
            return member != null && member.standing() == standing;
        }
    }

    private record ScheduledTask(long timeUs, long order, Runnable task) { }

    final List<Change> changes = new ArrayList<>();
    /** Null, or a list that collects all messages sent from now on. */
    List<MemberAction.SendTo> sent;
    final Map<Address, Node> nodes = new LinkedHashMap<>();
    /** The probability that a datagram is lost. */
    double lossRate;
    BiPredicate<Address, Address> isCut = (from, to) -> false;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::timeUs).thenComparingLong(ScheduledTask::order));
    private final UniformRandomProvider random;
    private final MemberSettings settings;
    private long nowUs;
    private long order;
    private int startedNodes;

    VirtualNetwork(long seed, MemberSettings settings) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.settings = settings;
    }

    /** Returns a network of members named n0 and up that all know each other. */
    static VirtualNetwork of(int members, long seed, MemberSettings settings) {
        var network = new VirtualNetwork(seed, settings);
        for (int i = 0; i < members; i++) {
            network.start("n" + i, 1_000 + i, address(i), List.of(address(0), address(1)));
        }
        network.run(20);
        network.changes.clear();
        return network;
    }

    static Address address(int host) {
        return new Address("127.1.0." + host, 7_401);
    }

    Node node(int host) {
        return nodes.get(address(host));
    }

    long nowUs() {
        return nowUs;
    }

    Node start(String name, long incarnation, Address address, List<Address> seeds) {
        Life life = new Life(name, incarnation);
        Node node = new Node(new Membership(settings, life, address, seeds, random.nextLong()), life, address);
        nodes.put(address, node);
        startedNodes++;
        long firstTickDelayUs = startedNodes * 7_919L % TICK_US;
        schedule(firstTickDelayUs, () -> tickRepeatedly(node));
        return node;
    }

    /** Kills a process, so that it cannot announce its departure. */
    void kill(Node node) {
        node.killed = true;
        nodes.remove(node.address, node);
    }

    void pause(Node node) {
        node.paused = true;
    }

    /** Resumes a paused process, which first handles the messages that waited in its sockets. */
    void resume(Node node) {
        node.paused = false;
        List<Runnable> messages = List.copyOf(node.waitingMessages);
        node.waitingMessages.clear();
        messages.forEach(Runnable::run);
    }

    void handle(Node node, MemberEvent event) {
        if (!node.killed) {
            node.membership.handle(nowUs, event, action -> carryOut(node, action));
        }
    }

    void run(int periods) {
        periodsUntil(periods, () -> false);
    }

    /** Runs until a condition holds. Returns the number of periods that it took, or {@code periods + 1} if it did not hold in time. */
    int periodsUntil(int periods, BooleanSupplier condition) {
        for (int i = 0; i <= periods; i++) {
            if (condition.getAsBoolean()) {
                return i;
            }
            long endUs = nowUs + PERIOD_US;
            while (!queue.isEmpty() && queue.peek().timeUs <= endUs) {
                ScheduledTask next = queue.poll();
                nowUs = next.timeUs;
                next.task.run();
            }
            nowUs = endUs;
        }
        return periods + 1;
    }

    /** Returns whether each member holds exactly the running members for alive. */
    boolean hasConverged() {
        return nodes.values().stream().allMatch(node -> node.membership.members().stream()
                .filter(member -> member.standing() == Standing.ALIVE).count() == nodes.size()
                && nodes.values().stream().allMatch(other -> node.holds(other.name, Standing.ALIVE)));
    }

    /** Returns whether all members other than the named one hold it to be in this state. */
    boolean allOthersHold(String name, Standing standing) {
        return nodes.values().stream().filter(node -> !node.name.equals(name)).allMatch(node -> node.holds(name, standing));
    }

    long countDeaths(Predicate<Change> filter) {
        return changes.stream().filter(change -> change.member.standing() == Standing.DEAD).filter(filter).count();
    }

    private void tickRepeatedly(Node node) {
        if (node.killed) {
            return;
        }
        if (!node.paused) {
            handle(node, new MemberEvent.Tick());
        }
        schedule(TICK_US, () -> tickRepeatedly(node));
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
        int copies = send.large() ? 1 : random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate / 10 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!isCut.test(node.address, send.to())) {
                schedule(100 + random.nextLong(10_000), () -> arrive(node.address, send));
            }
        }
    }

    private void arrive(Address from, MemberAction.SendTo send) {
        Node node = nodes.get(send.to());
        if (node == null) {
            return;
        }
        Runnable delivery = () -> handle(node, new MemberEvent.Received(from, send.message()));
        if (node.paused) {
            node.waitingMessages.add(delivery);
        } else {
            delivery.run();
        }
    }

    private void schedule(long afterUs, Runnable task) {
        queue.add(new ScheduledTask(nowUs + afterUs, order++, task));
    }
}
