package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;

/** What rules are judged by: what was to be played, what was seen, and what explains a failure. */
final class Evidence {
    private static final long FOR_GOOD = Long.MAX_VALUE;

    final Scenario scenario;
    final Plan plan;
    final List<Seen> ledger;
    final boolean cut;
    final long endUs;
    final Map<String, History> histories;
    final Holdups holdups;
    private final Map<Integer, List<Span>> troubles = new HashMap<>();
    private final Map<Integer, List<Span>> silences = new HashMap<>();
    private final Map<Integer, List<Span>> apartFromServers = new HashMap<>();
    private final Map<String, Plan.Server> servers = new HashMap<>();

    /** A time during which something was so. */
    record Span(long fromUs, long toUs) {
        boolean meets(long from, long to) {
            return from <= toUs && fromUs <= to;
        }
    }

    Evidence(Scenario scenario, Plan plan, LedgerReader.Record record) {
        this.scenario = scenario;
        this.plan = plan;
        ledger = record.seen();
        cut = record.cut();
        endUs = ledger.isEmpty() ? 0 : ledger.get(ledger.size() - 1).t();
        histories = History.of(ledger);
        holdups = new Holdups(ledger);
        plan.servers().forEach(s -> servers.put(s.id(), s));
        spans();
    }

    private void spans() {
        var down = new HashMap<Integer, Long>();
        var faults = new HashMap<Integer, Long>();
        for (Seen seen : ledger) {
            if (seen instanceof Seen.ProxyIs s) {
                switch (s.life()) {
                    case KILLED, STOPPED, ENDED -> down.putIfAbsent(s.proxy(), s.t());
                    case CONTINUED, READY, STARTED -> trouble(s.proxy(), down.remove(s.proxy()), s.t());
                    default -> { }
                }
            } else if (seen instanceof Seen.FaultIs s) {
                if (!s.ended()) {
                    faults.put(s.number(), s.t());
                } else if (faults.containsKey(s.number())) {
                    span(s, faults.remove(s.number()), s.t());
                }
            }
        }
        down.forEach((proxy, from) -> trouble(proxy, from, FOR_GOOD));
        for (Seen seen : ledger) {
            if (seen instanceof Seen.FaultIs s && faults.containsKey(s.number())) {
                span(s, s.t(), FOR_GOOD);
            }
        }
    }

    private void trouble(int proxy, Long from, long to) {
        if (from != null) {
            add(troubles, proxy, new Span(from, to));
        }
    }

    private static void add(Map<Integer, List<Span>> spans, int of, Span span) {
        spans.computeIfAbsent(of, k -> new ArrayList<>()).add(span);
    }

    private void span(Seen.FaultIs fault, long from, long to) {
        switch (fault.act()) {
            case "CUT", "MUTE" -> fault.whom().forEach(p -> add(silences, p, new Span(from, to)));
            case "ISOLATE" -> scenario.faults().get(fault.number()).from().forEach(party -> {
                // Whoever is cut off from clients alone can't be held to answer them; servers and discovery explain no silence.
                switch (party) {
                    case SERVERS -> fault.whom().forEach(p -> add(apartFromServers, p, new Span(from, to)));
                    case CLIENTS -> fault.whom().forEach(p -> add(troubles, p, new Span(from, to)));
                    case DISCOVERY -> { } // ListClock has it
                }
            });
            default -> { }
        }
    }

    private static boolean any(Map<Integer, List<Span>> spans, int of, long from, long to) {
        return spans.getOrDefault(of, List.of()).stream().anyMatch(s -> s.meets(from, to));
    }

    /** Returns whether a proxy was killed, down, stood still or was out of its clients' reach at any time of a span. */
    boolean excused(int proxy, long from, long to) {
        return any(troubles, proxy, from, to);
    }

    /** Returns whether a server's place was cut off, or a proxy from all of them, at any time of a span. */
    boolean silent(int proxy, String server, long from, long to) {
        Plan.Server of = servers.get(server);
        return of != null && any(silences, of.place(), from, to) || any(apartFromServers, proxy, from, to);
    }

    /** Returns whether a fault takes discovery, or the way to it, from a proxy. */
    boolean cutsOffDiscovery(Seen.FaultIs seen, int proxy) {
        Scenario.Fault fault = scenario.faults().get(seen.number());
        return switch (fault.act()) {
            case DISCOVERY -> !fault.silent();
            case ISOLATE -> fault.from().contains(Scenario.Party.DISCOVERY) && seen.whom().contains(proxy);
            default -> false;
        };
    }

    /** Returns the loop of the lab that saw what came to a server. */
    Holdups.Loop loopOf(String server) {
        Plan.Server of = servers.get(server);
        return of == null ? holdups.discovery() : holdups.server(of.place());
    }

    Plan.Server server(String id) {
        return servers.get(id);
    }

    Scenario.RequestClass requestClass(Seen.Asked asked) {
        return scenario.classes().get(plan.arrivals().get(asked.arrival()).requestClass());
    }

    /** Returns what was seen of one kind, by time. */
    <S extends Seen> List<S> all(Class<S> kind) {
        return ledger.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
