package walkpost.fleet.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;

/**
 * What operators called for and what came of it: when each order was acknowledged, and when it was in force at each member that ran,
 * uncut, from the call until it was looked at. Owns these.
 */
final class Orders {
    private static final long NEVER = -1;
    /** After its call an order is looked at; who has not got it then is missing. */
    private static final long LOOK_US = 30 * Agenda.S;

    /** One order on its way. */
    private static final class Call {
        private final Order.Key key;
        private final String id;
        private final long calledUs;
        private final Process[] running;
        private final long[] inForceUs;
        private long version = NEVER;
        private long acknowledgedUs = NEVER;
        private String refused;

        Call(Order.Key key, String id, long calledUs, Process[] running) {
            this.key = key;
            this.id = id;
            this.calledUs = calledUs;
            this.running = running;
            inForceUs = new long[running.length];
            Arrays.fill(inForceUs, NEVER);
        }
    }

    /** What came of an order, in milliseconds from its call; NaN and the reason where it was not acknowledged. */
    record Outcome(long calledUs, double acknowledgedMs, double halfMs, double mostMs, double allMs, int missing, String refused) { }

    private final World world;
    private final Map<String, Call> open = new HashMap<>();
    private final Map<Order.Key, List<Call>> openByKey = new HashMap<>();
    private final Map<Order.Key, Order> acknowledged = new HashMap<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private int called;

    Orders(World world) {
        this.world = world;
    }

    /** An operator calls for something at a member. */
    void call(Process at, Order.Key key) {
        Process[] running = new Process[world.hosts().size()];
        for (Host host : world.hosts()) {
            running[host.index()] = world.reachable(host) ? host.process() : null;
        }
        Call call = new Call(key, "order-" + world.seed() + "-" + called++, world.nowUs(), running);
        open.put(call.id, call);
        openByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(call);
        // What stands is taken back, and what does not is given: to take back nothing is refused.
        EffectiveOrder acting = at.acting().get(key);
        String payload = acting != null && acting.payload() != null ? null : "{\"out\":true,\"reason\":\"" + key.subject() + " is slow\"}";
        at.order(key, call.id, null, payload);
        world.agenda().after(LOOK_US, () -> look(call));
    }

    /** This stands at a member from now on. */
    void stands(Host host, Order.Key key, EffectiveOrder acting) {
        if (acting.chosen() == null) {
            return;
        }
        for (Call call : openByKey.getOrDefault(key, List.of())) {
            if (call.id.equals(acting.chosen().id())) {
                call.version = acting.chosen().version();
            }
            boolean held = call.version != NEVER && acting.chosen().version() >= call.version;
            if (held && call.inForceUs[host.index()] == NEVER && call.running[host.index()] == host.process()) {
                call.inForceUs[host.index()] = world.nowUs();
            }
        }
    }

    void acknowledged(String id, Order order) {
        Call call = open.get(id);
        if (call != null && call.acknowledgedUs == NEVER) {
            call.acknowledgedUs = world.nowUs();
            call.version = order.version();
            acknowledged.merge(order.key(), order, (one, two) -> one.version() > two.version() ? one : two);
        }
    }

    void refused(String id, FleetException why) {
        Call call = open.get(id);
        if (call != null && call.refused == null) {
            call.refused = why.getClass().getSimpleName();
        }
    }

    private void look(Call call) {
        open.remove(call.id);
        openByKey.get(call.key).remove(call);
        if (call.acknowledgedUs == NEVER) {
            outcomes.add(new Outcome(call.calledUs, Double.NaN, Double.NaN, Double.NaN, Double.NaN, 0,
                    call.refused == null ? "unanswered" : call.refused));
            return;
        }
        List<Double> took = new ArrayList<>();
        int lacking = 0;
        for (Host host : world.hosts()) {
            int i = host.index();
            if (call.running[i] == null || call.running[i] != host.process() || !world.reachedSince(host, call.calledUs)) {
                continue;
            }
            if (call.inForceUs[i] == NEVER) {
                lacking++;
            } else {
                took.add((call.inForceUs[i] - call.calledUs) / 1e3);
            }
        }
        took.sort(null);
        outcomes.add(new Outcome(call.calledUs, (call.acknowledgedUs - call.calledUs) / 1e3, Figures.quantile(took, 0.5),
                Figures.quantile(took, 0.99), lacking > 0 ? Double.NaN : Figures.quantile(took, 1), lacking, null));
    }

    /** Returns whether a member holds all that was acknowledged so far, or what came after it; a removal that it never knew of is held. */
    boolean heldBy(Process process) {
        Map<Order.Key, EffectiveOrder> stands = process.acting();
        return acknowledged.values().stream().allMatch(order -> {
            EffectiveOrder acting = stands.get(order.key());
            return acting == null || acting.chosen() == null ? order.payload() == null : acting.chosen().version() >= order.version();
        });
    }

    /** Returns what came of the orders that were called for in this time and are looked at by now. */
    List<Outcome> outcomes(long fromUs, long toUs) {
        return outcomes.stream().filter(outcome -> outcome.calledUs >= fromUs && outcome.calledUs < toUs).toList();
    }

    static final String HEAD = """
            | orders of | called | not acknowledged | acknowledged, ms: p50; p99; max | in force at half of the members | at 99% of them \
            | at all | members that miss one after 30 s |
            | --- | --- | --- | --- | --- | --- | --- | --- |""";

    /** Returns a row of {@link #HEAD}. */
    String row(String name, long fromUs, long toUs) {
        List<Outcome> all = outcomes(fromUs, toUs);
        Map<String, Long> refused = all.stream().filter(outcome -> outcome.refused != null)
                .collect(Collectors.groupingBy(Outcome::refused, TreeMap::new, Collectors.counting()));
        List<Outcome> done = all.stream().filter(outcome -> outcome.refused == null).toList();
        return Figures.row(name, all.size(), refused.isEmpty() ? "0" : refused.toString(), spread(done, Outcome::acknowledgedMs),
                spread(done, Outcome::halfMs), spread(done, Outcome::mostMs), spread(done, Outcome::allMs),
                done.stream().mapToInt(Outcome::missing).sum());
    }

    private static String spread(List<Outcome> outcomes, Function<Outcome, Double> figure) {
        List<Double> sorted = outcomes.stream().map(figure).filter(value -> !value.isNaN()).sorted().toList();
        return Figures.number(Figures.quantile(sorted, 0.5)) + "; " + Figures.number(Figures.quantile(sorted, 0.99)) + "; "
                + Figures.number(Figures.quantile(sorted, 1));
    }
}
