package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Break.Rule;
import walkpost.lab.verdict.Evidence.Span;

/**
 * The rule that an order is in force in time at every proxy and every hollow member that is in reach, whoever of the voters was killed
 * or stopped meanwhile: from its first call, or from when that member came back.
 */
final class InForceRules {
    /** What a process with hollow members has in force it says within so long. */
    private static final long TOLD_US = 4_000_000;

    private final Evidence evidence;
    private final Map<String, Given> given;
    private final List<CopyView> views;
    private final List<HollowLife> hollow;
    private final Consumer<Break> breaks;
    private final long limitUs;

    InForceRules(Evidence evidence, Map<String, Given> given, List<CopyView> views, List<HollowLife> hollow, Consumer<Break> breaks) {
        this.evidence = evidence;
        this.given = given;
        this.views = views;
        this.hollow = hollow;
        this.breaks = breaks;
        limitUs = evidence.scenario.fleet().members().inForceUs();
    }

    void check() {
        if (limitUs <= 0) {
            return;
        }
        Map<Integer, List<Span>> reach = proxies();
        for (Given order : given.values()) {
            if (!order.acknowledged()) {
                breaks.accept(new Break(Rule.ORDER_LATE, order.lastUs(), -1, order.id, "no call for it was answered with success"));
                continue;
            }
            reach.forEach((proxy, spans) -> spans.forEach(span -> atProxy(order, proxy, span)));
            hollow.forEach(life -> life.reach.forEach(span -> atHollow(order, life, span)));
        }
    }

    /** Returns when each proxy ran and did not stand still, as far as clients were let to it. */
    private Map<Integer, List<Span>> proxies() {
        var since = new HashMap<Integer, Long>();
        var reach = new HashMap<Integer, List<Span>>();
        for (Seen.ProxyIs is : evidence.all(Seen.ProxyIs.class)) {
            switch (is.life()) {
                case ADMITTED, CONTINUED -> since.putIfAbsent(is.proxy(), is.t() < 0 ? Long.MIN_VALUE : is.t());
                case KILLED, TERMINATED, STOPPED, ENDED -> {
                    if (since.containsKey(is.proxy())) {
                        reach.computeIfAbsent(is.proxy(), k -> new ArrayList<>()).add(new Span(since.remove(is.proxy()), is.t()));
                    }
                }
                case STARTED, READY, DROPPED -> { }
            }
        }
        since.forEach((proxy, from) -> reach.computeIfAbsent(proxy, k -> new ArrayList<>()).add(new Span(from, evidence.endUs)));
        return reach;
    }

    /** Returns by when an order is to be in force at one that is in reach for a span; below 0 where that is not judged. */
    private long due(Given order, Span span) {
        long from = Math.max(span.fromUs(), order.firstUs());
        // Who came when another one had followed is not told of this one any more.
        boolean followed = given.values().stream().anyMatch(g -> g.mayFollow(order, given) && g.firstUs() <= from + limitUs);
        return followed ? -1 : from + limitUs;
    }

    private void atProxy(Given order, int proxy, Span span) {
        long due = due(order, span);
        if (due < 0 || due > span.toUs()) {
            return;
        }
        views.stream().filter(v -> v.call().proxy() == proxy && v.call().fromUs() >= due && v.call().toUs() <= span.toUs())
                .min(Comparator.comparingLong(v -> v.call().fromUs())).filter(v -> !v.level() || !has(v, order))
                .ifPresent(v -> breaks.accept(new Break(Rule.ORDER_LATE, v.call().toUs(), proxy, order.id, "not in force "
                        + (v.call().fromUs() - due + limitUs) / 1_000 + " ms after its first call, or after the proxy came back; it is "
                        + (v.level() ? "" : "not ") + "level")));
    }

    static boolean has(CopyView view, Given order) {
        CopyView.Shown shown = view.shown().get(order.key);
        return shown == null ? order.takesBack : shown.ids().contains(order.id);
    }

    private void atHollow(Given order, HollowLife life, Span span) {
        long due = due(order, span);
        if (due < 0 || due + TOLD_US > span.toUs()) {
            return;
        }
        long have = life.inForceBy(order.id, due);
        if (have < life.members) {
            breaks.accept(new Break(Rule.ORDER_LATE, due, -1, order.id, life.process + ": in force at " + have + " of " + life.members
                    + " members " + limitUs / 1_000 + " ms after its first call, or after they came back"));
        }
    }
}
