package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Evidence.Span;

/** When nothing troubled the members of a fleet, and who of them ran, as the ledger has it. */
final class Quiet {
    private final List<Span> troubles = new ArrayList<>();
    private final Map<Integer, List<Span>> still = new HashMap<>();
    private final Map<Integer, List<Span>> down = new HashMap<>();
    private final List<Parted> parted = new ArrayList<>();
    private final Set<Integer> starting = new HashSet<>();

    /** Two parts of a fleet between which nothing got through, not even by way of others. */
    private record Parted(Span span, List<List<Integer>> groups) {
        boolean apart(int one, int other) {
            return groups.stream().anyMatch(g -> g.contains(one)) && groups.stream().anyMatch(g -> g.contains(other))
                    && groups.stream().noneMatch(g -> g.contains(one) && g.contains(other));
        }
    }

    Quiet(Evidence evidence) {
        // While the fleet starts, moments are told from another zero than the play's: none of them can be compared.
        troubles.add(new Span(Long.MIN_VALUE, 0));
        var faults = new HashMap<Integer, Seen.FaultIs>();
        var stopped = new HashMap<Integer, Long>();
        var gone = new HashMap<Integer, Long>();
        for (Seen seen : evidence.ledger) {
            if (seen instanceof Seen.FaultIs s && evidence.scenario.faults().get(s.number()).between() != null) {
                if (!s.ended()) {
                    faults.put(s.number(), s);
                } else if (faults.containsKey(s.number())) {
                    between(evidence, faults.remove(s.number()), s.t());
                }
            } else if (seen instanceof Seen.ProxyIs s) {
                life(s, stopped, gone);
            }
        }
        faults.values().forEach(s -> between(evidence, s, Long.MAX_VALUE));
        stopped.forEach((proxy, from) -> stoodStill(proxy, new Span(from, Long.MAX_VALUE)));
        gone.forEach((proxy, from) -> add(down, proxy, new Span(from, Long.MAX_VALUE)));
    }

    private void life(Seen.ProxyIs s, Map<Integer, Long> stopped, Map<Integer, Long> gone) {
        switch (s.life()) {
            case STOPPED -> stopped.putIfAbsent(s.proxy(), s.t());
            case CONTINUED -> {
                if (stopped.containsKey(s.proxy())) {
                    stoodStill(s.proxy(), new Span(stopped.remove(s.proxy()), s.t()));
                }
            }
            case KILLED, TERMINATED, ENDED -> {
                troubles.add(new Span(s.t(), s.t()));
                gone.putIfAbsent(s.proxy(), s.t());
                if (stopped.containsKey(s.proxy())) {
                    stoodStill(s.proxy(), new Span(stopped.remove(s.proxy()), s.t()));
                }
            }
            case STARTED -> {
                starting.add(s.proxy());
                troubles.add(new Span(s.t(), s.t()));
                if (gone.containsKey(s.proxy())) {
                    add(down, s.proxy(), new Span(gone.remove(s.proxy()), s.t()));
                }
            }
            case ADMITTED -> {
                // A new process hears the others when it serves at the latest.
                if (starting.remove(s.proxy())) {
                    troubles.add(new Span(s.t(), s.t()));
                }
            }
            case READY, DROPPED -> { }
        }
    }

    private void stoodStill(int proxy, Span span) {
        troubles.add(span);
        add(still, proxy, span);
    }

    private void between(Evidence evidence, Seen.FaultIs fault, long to) {
        var span = new Span(fault.t(), to);
        troubles.add(span);
        List<List<Integer>> groups = evidence.scenario.faults().get(fault.number()).between().groups(fault.whom());
        Set<Integer> all = new HashSet<>();
        groups.forEach(all::addAll);
        if (!groups.isEmpty() && all.size() == evidence.scenario.fleet().proxies()) {
            parted.add(new Parted(span, groups));
        }
    }

    private static void add(Map<Integer, List<Span>> spans, int of, Span span) {
        spans.computeIfAbsent(of, k -> new ArrayList<>()).add(span);
    }

    /** Counts orders that may have changed something as trouble too: copies are on their way to be alike then. */
    Quiet withCalls(Iterable<Given> given) {
        given.forEach(g -> g.calls().stream().filter(c -> !Given.refused(c))
                .forEach(c -> troubles.add(new Span(c.fromUs(), c.toUs()))));
        return this;
    }

    /** Returns since when nothing troubled the fleet at a moment; {@link Long#MAX_VALUE} where something did. */
    long since(long t) {
        return troubles.stream().filter(s -> s.fromUs() <= t).mapToLong(s -> s.toUs() >= t ? Long.MAX_VALUE : s.toUs()).max()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns whether what a call told was so after so much quiet. */
    boolean settled(DoorCall call, long afterUs) {
        long since = since(call.toUs());
        return since != Long.MAX_VALUE && call.fromUs() - afterUs > since;
    }

    /** Returns whether a proxy stood still at any time of a span. */
    boolean stoodStill(int proxy, long from, long to) {
        return still.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.meets(from, to));
    }

    /** Returns whether a proxy was down at a moment. */
    boolean down(int proxy, long t) {
        return down.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.meets(t, t));
    }

    /** Returns since when one member can't have heard of another, all the time up to a moment; below 0 where it can have. */
    long unheardSince(int of, int by, long t) {
        var spans = new ArrayList<>(down.getOrDefault(of, List.of()));
        spans.addAll(still.getOrDefault(of, List.of()));
        parted.stream().filter(p -> p.apart(of, by)).forEach(p -> spans.add(p.span()));
        return spans.stream().filter(s -> s.meets(t, t)).mapToLong(Span::fromUs).min().orElse(-1);
    }
}
