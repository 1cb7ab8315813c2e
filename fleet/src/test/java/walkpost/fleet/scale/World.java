package walkpost.fleet.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.shell.Wire;

/** A fleet in three regions of three zones each, its network, its operators and its counts, in one thread and from one seed. */
final class World {
    static final int REGIONS = 3;
    static final int ZONES = 9;
    static final int SHARDS = 8;
    /** Servers that can be excluded: keys of orders. */
    static final int KEYS = 250;
    private static final int SEEDS = 3;

    /** What a fleet is made of. */
    record Plan(int voters, int observers, boolean directories, double loss, long seed, int longestS) { }

    private final Plan plan;
    private final Agenda agenda;
    private final Traffic traffic;
    private final Wan wan;
    private final Wire wire = new Wire("gent", SHARDS);
    private final Orders orders;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<Address, Host> byAddress = new HashMap<>();
    private final Set<String> voters = new TreeSet<>();
    private final Cost[] costs;
    private final long[] cutUs;
    private long read;

    World(Plan plan) {
        this.plan = plan;
        int size = plan.voters + plan.observers;
        agenda = new Agenda(plan.seed);
        traffic = new Traffic(size, plan.longestS);
        wan = new Wan(agenda, traffic, plan.loss);
        orders = new Orders(this);
        costs = new Cost[size];
        cutUs = new long[size];
        for (int index = 0; index < size; index++) {
            Host host = new Host(this, index, index < plan.voters);
            hosts.add(host);
            byAddress.put(host.address(), host);
            costs[index] = new Cost();
            cutUs[index] = Long.MIN_VALUE;
            if (host.voter()) {
                voters.add(host.name());
                for (int key = 0; key < KEYS; key++) {
                    Slot slot = first(key);
                    host.disk().put(slot.key(), slot);
                }
            }
        }
    }

    static Order.Key key(int number) {
        return new Order.Key("exclusion", "tiles-" + (char) ('a' + number % ZONES) + "-" + String.format("%03d", number));
    }

    private static Slot first(int number) {
        Order.Key key = key(number);
        return new Slot(key, List.of(new Order(key, "first-" + number, 1, List.of(), number % 10 == 0 ? "{\"out\":true}" : null, null,
                new Life("voter-a-000", 1_763_000_000_000L))), Map.of(), 0);
    }

    Agenda agenda() {
        return agenda;
    }

    Traffic traffic() {
        return traffic;
    }

    Wan wan() {
        return wan;
    }

    Wire wire() {
        return wire;
    }

    Orders orders() {
        return orders;
    }

    List<Host> hosts() {
        return hosts;
    }

    Host at(Address address) {
        return byAddress.get(address);
    }

    Set<String> voters() {
        return voters;
    }

    Cost cost(Host host) {
        return costs[host.index()];
    }

    long nowUs() {
        return agenda.nowUs();
    }

    long seed() {
        return plan.seed;
    }

    boolean hasObservers() {
        return plan.observers > 0;
    }

    boolean directories() {
        return plan.directories;
    }

    /** Returns the addresses to ask first: those of the first voters, one a region. */
    List<Address> seeds() {
        return hosts.stream().limit(SEEDS).map(Host::address).toList();
    }

    /** Whether this message is among those that are read back from bytes. */
    boolean readsNow() {
        return ++read % Cost.READ_ONE_OF == 0;
    }

    /** Returns hosts, voters or observers, that run. */
    List<Host> running(Predicate<Host> which) {
        return hosts.stream().filter(Host::runs).filter(which).toList();
    }

    Host any(List<Host> among) {
        return among.get(agenda.below(among.size()));
    }

    boolean reachable(Host host) {
        return host.runs() && !wan.isCut(host.region());
    }

    /** Whether a host was cut off at no time from then until now. */
    boolean reachedSince(Host host, long sinceUs) {
        return reachable(host) && cutUs[host.index()] < sinceUs;
    }

    void cut(int region) {
        wan.cut(region);
    }

    void heal() {
        hosts.stream().filter(host -> wan.isCut(host.region())).forEach(host -> cutUs[host.index()] = nowUs());
        wan.heal();
    }

    void ended(Process process) {
        wan.ended(process);
        if (!plan.directories) {
            process.host().disk().clear();
        }
    }

    /** Starts hosts, spread over a time. */
    void start(List<Host> which, long withinUs) {
        which.forEach(host -> agenda.after(agenda.draw(Math.max(1, withinUs)), host::start));
    }

    /** Plays until something holds of all that run, looking ten times a second; returns after how many ms, or NaN if not in that time. */
    double until(long mostUs, Predicate<Process> holds, Predicate<Host> of) {
        long fromUs = nowUs();
        while (nowUs() - fromUs < mostUs) {
            agenda.play(Agenda.S / 10);
            if (hosts.stream().filter(Host::runs).filter(of).allMatch(host -> holds.test(host.process()))) {
                return (nowUs() - fromUs) / 1e3;
            }
        }
        return Double.NaN;
    }
}
