package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Break.Rule;

/** The rule that a proxy which has shown or acknowledged an exclusion sends that server nothing more. */
final class ExclusionRules {
    private final Evidence evidence;
    private final Map<String, Given> given;
    private final List<CopyView> views;
    private final Consumer<Break> breaks;
    /** Since when a proxy leaves out a server, and by which order. */
    private final Map<Integer, Map<String, Since>> out = new HashMap<>();
    private final Set<String> told = new HashSet<>();

    private record Since(long t, Given order) { }

    private record Event(long t, Runnable what) { }

    ExclusionRules(Evidence evidence, Map<String, Given> given, List<CopyView> views, Consumer<Break> breaks) {
        this.evidence = evidence;
        this.given = given;
        this.views = views;
        this.breaks = breaks;
    }

    void check() {
        var events = new ArrayList<Event>();
        views.forEach(v -> events.add(new Event(v.call().toUs(), () -> shown(v))));
        given.values().stream().filter(g -> !g.takesBack).forEach(g -> g.calls().stream().filter(DoorCall::succeeded)
                .forEach(c -> events.add(new Event(c.toUs(), () -> takenOut(c.proxy(), c.toUs(), g)))));
        for (Seen seen : evidence.ledger) {
            if (seen instanceof Seen.ProxyIs s && s.life() == Seen.Life.STARTED) {
                events.add(new Event(s.t(), () -> out.remove(s.proxy())));
            } else if (seen instanceof Seen.Arrived s) {
                events.add(new Event(s.firstUs(), () -> arrived(s)));
            }
        }
        events.sort(Comparator.comparingLong(Event::t));
        events.forEach(e -> e.what().run());
    }

    private void shown(CopyView view) {
        Map<String, Since> of = out.getOrDefault(view.call().proxy(), Map.of());
        for (String server : List.copyOf(of.keySet())) {
            if (view.payload(new Given.Key("exclusion", server)) == null && of.get(server).t() < view.call().fromUs()) {
                of.remove(server);
            }
        }
        if (!view.level()) {
            return; // It holds the order, and acts on it once it is level.
        }
        view.shown().forEach((key, shown) -> {
            Given order = given.get(shown.id());
            if (shown.payload() != null && order != null && !order.takesBack && key.topic().equals("exclusion")) {
                takenOut(view.call().proxy(), view.call().toUs(), order);
            }
        });
    }

    private void takenOut(int proxy, long t, Given order) {
        if (!givenBack(order, t)) {
            out.computeIfAbsent(proxy, k -> new HashMap<>()).putIfAbsent(order.key.subject(), new Since(t, order));
        }
    }

    /** Returns whether an order may have ended an exclusion by a moment. */
    private boolean givenBack(Given order, long t) {
        return given.values().stream().anyMatch(g -> g.takesBack && g.key.equals(order.key) && !g.refused()
                && g.lastUs() > order.firstUs() && g.firstUs() <= t);
    }

    private void arrived(Seen.Arrived arrived) {
        Since since = out.getOrDefault(arrived.proxy(), Map.of()).get(arrived.server());
        long grace = evidence.scenario.rules().drainUs() + RequestRules.SLACK_US;
        if (since != null && arrived.firstUs() > since.t() + grace && !givenBack(since.order(), arrived.t())
                && told.add(arrived.proxy() + " " + arrived.server())) {
            breaks.accept(new Break(Rule.EXCLUSION_IGNORED, arrived.t(), arrived.proxy(), arrived.id(), "sent to " + arrived.server() + " "
                    + (arrived.firstUs() - since.t()) / 1_000 + " ms after order " + since.order().id + " was shown or acknowledged"));
        }
    }
}
