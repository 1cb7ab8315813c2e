package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Members;
import walkpost.lab.scenario.Scenario;

/**
 * What members cost, and how soon orders were in force at them, in a play with voters and hollow members beside its proxies. Rates count
 * both ways, a member and second, from the first arrival on; times are in milliseconds.
 *
 * @param bytesPerS of a hollow member, mean
 * @param worstBytesPerS the highest mean of the members of one process over ten seconds
 * @param worstMemberBytesPerS the highest of one member over ten seconds
 * @param messagesPerS of a hollow member, mean
 * @param cpuMsPerS processor time of a hollow member, mean
 * @param voterCpuMsPerS processor time of one that votes, mean
 * @param worstVoterCpuMsPerS the same of the one that took most
 * @param proxyCpuMsPerS processor time of a proxy, mean, its clients' requests included
 * @param descriptors the most that one process beside the proxies had open
 * @param memoryMb what all processes beside the proxies had in the machine's memory, each at its highest
 * @param orders from each order's first call
 * @param all the same of all orders together
 * @param backMs the longest from when a process with hollow members was back and ready until all of them had all in force; below 0
 *     where none came back
 */
public record FleetFigures(int voters, int proxies, int hollow, double bytesPerS, double worstBytesPerS, double worstMemberBytesPerS,
        double messagesPerS, double cpuMsPerS, double voterCpuMsPerS, double worstVoterCpuMsPerS, double proxyCpuMsPerS, int descriptors,
        long memoryMb, List<Spread> orders, Spread all, double backMs) {
    private static final double MS = 1e3;
    private static final double SECOND = 1e6;
    private static final double WINDOW_S = 10;

    /**
     * How soon an order was in force at the hollow members that were in reach all the while.
     *
     * @param of how many those are
     * @param held at how many of them it was
     * @param proxiesMs when the last proxy showed it; it is asked now and then only
     */
    public record Spread(String order, int of, int held, double p50Ms, double p99Ms, double mostMs, double proxiesMs) { }

    /** Returns the figures of a play; null for one without voters beside its proxies. */
    static FleetFigures of(Evidence evidence) {
        Scenario scenario = evidence.scenario;
        Members members = scenario.fleet().members();
        if (members == null || members.voters() == 0) {
            return null;
        }
        List<HollowLife> lives = HollowLife.of(evidence);
        double memberSeconds = 0;
        double bytes = 0;
        double messages = 0;
        double cpu = 0;
        double worst = 0;
        double worstMember = 0;
        for (HollowLife life : lives) {
            for (HollowLife.Said said : life.figures) {
                if (said.t() - said.seconds() * SECOND >= 0) {
                    double weight = life.members * said.seconds();
                    memberSeconds += weight;
                    bytes += weight * said.bytesPerS();
                    messages += weight * said.messagesPerS();
                    cpu += weight * said.cpuMsPerS();
                    worstMember = Math.max(worstMember, said.worstBytesPerS());
                }
            }
            worst = Math.max(worst, worst(life));
        }
        double whole = Math.max(1e-9, memberSeconds);
        var orders = new ArrayList<Spread>();
        var all = new ArrayList<Double>();
        int of = 0;
        var given = Given.of(DoorCall.of(evidence.ledger));
        List<CopyView> views = CopyRules.views(evidence);
        double proxiesMs = 0;
        for (Given order : given.values()) {
            var times = new ArrayList<Double>();
            int reached = 0;
            for (HollowLife life : lives) {
                // Those that were killed or stopped meanwhile have it by another way: when they come back.
                if (life.reach.stream().anyMatch(s -> s.fromUs() <= order.firstUs() && s.toUs() >= order.firstUs() + members.inForceUs())) {
                    reached += life.members;
                    life.inForce.getOrDefault(order.id, List.of()).forEach(at -> times.add((at - order.firstUs()) / MS));
                }
            }
            double shown = shown(order, views);
            proxiesMs = Math.max(proxiesMs, shown);
            orders.add(spread(order.id, reached, times, shown));
            of += reached;
            all.addAll(times);
        }
        Map<String, Cost> costs = costs(evidence);
        List<Double> voters = costs.entrySet().stream().filter(e -> e.getKey().startsWith("v")).map(e -> e.getValue().msPerS()).toList();
        return new FleetFigures(members.voters(), scenario.fleet().proxies(), members.hollow() == null ? 0 : members.hollow().members(),
                bytes / whole, worst, worstMember, messages / whole, cpu / whole, mean(voters),
                voters.stream().mapToDouble(d -> d).max().orElse(0), proxies(evidence),
                costs.values().stream().mapToInt(c -> c.descriptors).max().orElse(0),
                costs.values().stream().mapToLong(c -> c.memoryKb).sum() >> 10, List.copyOf(orders), spread("all", of, all, proxiesMs),
                back(lives));
    }

    /** Returns a line of a play's report. */
    public String line() {
        return String.format(Locale.ROOT, "fleet: %d voters, %d proxies, %d hollow members: %.0f bytes/s a member (worst 10 s: %.0f, of one "
                + "member %.0f), %.1f messages/s, %.2f ms/s of CPU; a voter %.1f ms/s (the worst %.1f); orders in force at %d of %d in "
                + "p50=%.0fms p99=%.0fms all=%.0fms, shown by the last proxy in %.0fms", voters, proxies, hollow, bytesPerS, worstBytesPerS,
                worstMemberBytesPerS, messagesPerS, cpuMsPerS, voterCpuMsPerS, worstVoterCpuMsPerS, all.held(), all.of(), all.p50Ms(),
                all.p99Ms(), all.mostMs(), all.proxiesMs());
    }

    private static double mean(List<Double> of) {
        return of.stream().mapToDouble(d -> d).average().orElse(0);
    }

    /** Returns the highest mean over ten seconds of a life's lines, those before the first arrival left out. */
    private static double worst(HollowLife life) {
        List<HollowLife.Said> said = life.figures.stream().filter(s -> s.t() - s.seconds() * SECOND >= 0).toList();
        double worst = 0;
        for (int from = 0; from < said.size(); from++) {
            double seconds = 0;
            double bytes = 0;
            for (int to = from; to < said.size() && seconds < WINDOW_S; to++) {
                seconds += said.get(to).seconds();
                bytes += said.get(to).seconds() * said.get(to).bytesPerS();
            }
            worst = seconds >= WINDOW_S ? Math.max(worst, bytes / seconds) : worst;
        }
        return worst;
    }

    private static Spread spread(String order, int of, List<Double> times, double proxiesMs) {
        List<Double> sorted = times.stream().sorted(Comparator.naturalOrder()).toList();
        return new Spread(order, of, sorted.size(), rank(sorted, 0.5), rank(sorted, 0.99), rank(sorted, 1), proxiesMs);
    }

    /** Returns the least value that a part of all does not exceed. */
    private static double rank(List<Double> sorted, double part) {
        return sorted.isEmpty() ? -1 : sorted.get(Math.max(0, (int) Math.ceil(part * sorted.size()) - 1));
    }

    private static double shown(Given order, List<CopyView> views) {
        var first = new HashMap<Integer, Long>();
        views.stream().filter(v -> v.call().fromUs() >= order.firstUs() && v.shown().containsKey(order.key) && InForceRules.has(v, order))
                .forEach(v -> first.merge(v.call().proxy(), v.call().toUs(), Math::min));
        return first.values().stream().mapToDouble(t -> (t - order.firstUs()) / MS).max().orElse(-1);
    }

    private static double back(List<HollowLife> lives) {
        return lives.stream().filter(l -> l.fromUs > 0 && !l.reach.isEmpty()).mapToDouble(l -> l.inForce.values().stream()
                .flatMap(List::stream).mapToDouble(at -> (at - l.reach.get(0).fromUs()) / MS).max().orElse(-1)).max().orElse(-1);
    }

    /** What one process used over its lives, from the first arrival on. */
    private static final class Cost {
        private long cpuMs;
        private double seconds;
        private long memoryKb;
        private int descriptors;

        private double msPerS() {
            return seconds > 0 ? cpuMs / seconds : 0;
        }
    }

    private static Map<String, Cost> costs(Evidence evidence) {
        var costs = new HashMap<String, Cost>();
        var last = new HashMap<String, Seen.SideUsed>();
        for (Seen.SideUsed used : evidence.all(Seen.SideUsed.class)) {
            Cost cost = costs.computeIfAbsent(used.process(), k -> new Cost());
            cost.memoryKb = Math.max(cost.memoryKb, used.memoryKb());
            cost.descriptors = Math.max(cost.descriptors, used.descriptors());
            Seen.SideUsed before = last.put(used.process(), used);
            // After a restart the sums begin anew.
            if (before != null && before.t() >= 0 && used.cpuMs() >= before.cpuMs()) {
                cost.cpuMs += used.cpuMs() - before.cpuMs();
                cost.seconds += (used.t() - before.t()) / SECOND;
            }
        }
        return costs;
    }

    private static double proxies(Evidence evidence) {
        var first = new HashMap<Integer, Seen.Used>();
        var last = new HashMap<Integer, Seen.Used>();
        for (Seen.Used used : evidence.all(Seen.Used.class)) {
            if (used.t() >= 0) {
                first.putIfAbsent(used.proxy(), used);
                last.put(used.proxy(), used);
            }
        }
        return first.keySet().stream().filter(p -> last.get(p).t() > first.get(p).t() && last.get(p).cpuMs() >= first.get(p).cpuMs())
                .mapToDouble(p -> (last.get(p).cpuMs() - first.get(p).cpuMs()) / ((last.get(p).t() - first.get(p).t()) / SECOND))
                .average().orElse(0);
    }
}
