package walkpost.fleet.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import walkpost.fleet.scale.Traffic.Kind;

/** A span of virtual time that is measured; begun by making it. Reads the counts of a world. */
final class Window {
    static final String HEAD = """
            | fleet, who | out, B/s: p50; max | in, B/s: p50; max | worst 10 s out: p50; max | worst 10 s in: p50; max | messages/s out; in \
            | out by SWIM; its syncs; shards; observers | CPU ms/s, mean: membership, other machines, codec |
            | --- | --- | --- | --- | --- | --- | --- | --- |""";

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private final World world;
    private final int fromS;
    private long cpuNs;
    private long wallNs;
    private int toS;

    Window(World world) {
        this.world = world;
        fromS = (int) (world.nowUs() / Agenda.S);
        world.hosts().forEach(host -> world.cost(host).clear());
        world.traffic().clearTypes();
        wallNs = -System.nanoTime();
        cpuNs = -THREADS.getCurrentThreadCpuTime();
    }

    Window end() {
        wallNs += System.nanoTime();
        cpuNs += THREADS.getCurrentThreadCpuTime();
        toS = Math.max(fromS + 1, (int) (world.nowUs() / Agenda.S));
        return this;
    }

    int seconds() {
        return toS - fromS;
    }

    /** Returns the mean bytes a second out and in of each such host. */
    List<Double> bytes(boolean outward, Predicate<Host> who, Kind... kinds) {
        return rates(outward, who, kinds).stream().map(Traffic.Rate::mean).toList();
    }

    List<Double> worst(boolean outward, Predicate<Host> who, Kind... kinds) {
        return rates(outward, who, kinds).stream().map(Traffic.Rate::worst).toList();
    }

    private List<Traffic.Rate> rates(boolean outward, Predicate<Host> who, Kind... kinds) {
        return world.hosts().stream().filter(who).map(host -> world.traffic().bytes(outward, host.index(), fromS, toS, kinds)).toList();
    }

    private List<Double> messages(boolean outward, Predicate<Host> who) {
        return world.hosts().stream().filter(who).map(host -> world.traffic().messages(outward, host.index(), fromS, toS).mean()).toList();
    }

    /** Returns a row of {@link #HEAD}. */
    String row(String name, Predicate<Host> who) {
        List<String> parts = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            parts.add(Figures.number(Figures.median(bytes(true, who, kind))));
        }
        List<Cost> costs = world.hosts().stream().filter(who).map(world::cost).toList();
        String cpu = String.join(", ", cpu(costs, Cost::membershipNs), cpu(costs, Cost::machinesNs), cpu(costs, Cost::codecNs));
        return Figures.row(name, both(bytes(true, who)), both(bytes(false, who)), both(worst(true, who)), both(worst(false, who)),
                Figures.number(Figures.median(messages(true, who))) + "; " + Figures.number(Figures.median(messages(false, who))),
                String.join("; ", parts), cpu);
    }

    /** Returns messages and bytes by type, a second and member, most bytes first. */
    String types() {
        StringBuilder lines = new StringBuilder("| message | a second, whole fleet | bytes each | B/s a member |\n| --- | --- | --- | --- |\n");
        world.traffic().types().entrySet().stream()
                .sorted(Map.Entry.comparingByValue((one, two) -> Long.compare(two.bytes, one.bytes)))
                .forEach(type -> lines.append(Figures.row(type.getKey(), (double) type.getValue().messages / seconds(),
                        (double) type.getValue().bytes / type.getValue().messages,
                        (double) type.getValue().bytes / seconds() / world.hosts().size())).append('\n'));
        return lines.toString();
    }

    /**
     * Returns the mean of what some cost a second. The wall clock is read around each piece of work, as that is cheap; what the thread had
     * of a core in all says which part of the wall clock's time was its own.
     */
    private String cpu(List<Cost> costs, ToLongFunction<Cost> part) {
        double own = (double) cpuNs / wallNs;
        return Figures.number(costs.stream().mapToLong(part).average().orElse(0) * own / 1e6 / seconds());
    }

    private static String both(List<Double> values) {
        return Figures.number(Figures.median(values)) + "; " + Figures.number(Figures.most(values));
    }
}
