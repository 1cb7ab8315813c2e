package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Members;
import walkpost.lab.verdict.Break.Rule;

/** The rules that are about orders: kept once acknowledged, never there once refused, and in the end alike on all copies. */
final class OrderRules {
    /** A process that goes on finds out within so long that it stood still (docs/fleet.md: its clock jumps by over 1 s). */
    private static final long AWAKE_US = 2_000_000;

    private final Evidence evidence;
    private final Members members;
    private final Map<String, Given> given;
    private final List<CopyView> views;
    private final Consumer<Break> breaks;
    private final Quiet quiet;
    private final Set<String> told = new HashSet<>();

    OrderRules(Evidence evidence, Map<String, Given> given, List<CopyView> views, Consumer<Break> breaks) {
        this.evidence = evidence;
        this.given = given;
        this.views = views;
        this.breaks = breaks;
        members = evidence.scenario.fleet().members();
        quiet = new Quiet(evidence).withCalls(given.values());
    }

    void check() {
        views.forEach(this::byItself);
        given.values().stream().filter(Given::acknowledged).forEach(this::kept);
        alike();
    }

    private void byItself(CopyView view) {
        for (CopyView.Shown shown : view.shown().values()) {
            for (String id : shown.ids()) {
                Given order = given.get(id);
                if (order == null || order.refused()) {
                    broken(Rule.ORDER_BY_ITSELF, view, id, order == null ? "it shows an order that nobody gave"
                            : "it shows an order that was answered '" + order.calls().get(0).answer() + "'");
                }
            }
        }
    }

    /** Looks for copies that say they are level and have lost an acknowledged order. */
    private void kept(Given order) {
        long since = order.acknowledgedUs();
        var gone = new HashSet<Integer>();
        // What is seen of copies and what becomes of them, by time: a copy that went has the order again once it shows it.
        var events = new ArrayList<Event>();
        views.forEach(v -> events.add(new Event(v.call().fromUs(), v, -1)));
        evidence.all(Seen.CopyGone.class).forEach(g -> events.add(new Event(g.t(), null, g.proxy())));
        events.sort(Comparator.comparingLong(Event::t));
        for (Event event : events) {
            if (event.t() <= order.acknowledgedUs()) {
                continue;
            }
            if (event.view() == null) {
                gone.add(event.gone());
                since = event.t();
                if (gone.size() > evidence.scenario.fleet().proxies() / 2) {
                    return; // Without a directory, orders live as long as a majority does.
                }
            } else if (has(event.view(), order)) {
                gone.remove(event.view().call().proxy());
            } else if (event.view().level() && event.t() > since + members.convergeUs() && !asleep(event.view())) {
                lost(event.view(), order);
                return;
            }
        }
    }

    /** Something to go by: what a copy showed, or, where that is null, a copy that went. */
    private record Event(long t, CopyView view, int gone) { }

    private boolean asleep(CopyView view) {
        return quiet.stoodStill(view.call().proxy(), view.call().fromUs() - AWAKE_US, view.call().toUs());
    }

    private boolean has(CopyView view, Given order) {
        CopyView.Shown shown = view.shown().get(order.key);
        if (shown == null) {
            return order.takesBack || given.values().stream().anyMatch(g -> g.takesBack && g.mayFollow(order, given));
        }
        return shown.ids().stream().anyMatch(id -> id.equals(order.id)
                || given.containsKey(id) && given.get(id).mayFollow(order, given));
    }

    private void lost(CopyView view, Given order) {
        CopyView.Shown shown = view.shown().get(order.key);
        boolean rival = shown != null && order.version() >= 0 && shown.ids().stream().map(given::get)
                .anyMatch(g -> g != null && g.acknowledged() && g.version() == order.version());
        broken(rival ? Rule.RIVALS_LOST : Rule.ORDER_LOST, view, order.id, "acknowledged at "
                + order.acknowledgedUs() / 1_000 + " ms; now there is " + (shown == null ? "nothing" : shown.ids()));
    }

    private void alike() {
        var latest = new HashMap<Integer, CopyView>();
        long period = Long.MIN_VALUE;
        var differing = new HashSet<Given.Key>();
        for (CopyView view : views.stream().sorted(Comparator.comparingLong(v -> v.call().toUs())).toList()) {
            if (!view.level() || !quiet.settled(view.call(), members.convergeUs())) {
                continue;
            }
            long since = quiet.since(view.call().toUs());
            if (since != period) {
                latest.clear();
                period = since;
            }
            latest.put(view.call().proxy(), view);
            for (CopyView other : latest.values()) {
                var keys = new HashSet<>(view.shown().keySet());
                keys.addAll(other.shown().keySet());
                for (Given.Key key : keys) {
                    if (!Objects.equals(view.payload(key), other.payload(key)) && differing.add(key)) {
                        broken(Rule.COPIES_DIFFER, view, key.subject(), "it has " + view.payload(key) + " for " + key.topic() + " "
                                + key.subject() + " where n" + other.call().proxy() + " has " + other.payload(key));
                    }
                }
            }
        }
    }

    private void broken(Rule rule, CopyView view, String id, String what) {
        if (told.add(rule + " " + id)) {
            breaks.accept(new Break(rule, view.call().toUs(), view.call().proxy(), id, what));
        }
    }
}
