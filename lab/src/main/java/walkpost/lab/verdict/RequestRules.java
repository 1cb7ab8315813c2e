package walkpost.lab.verdict;

import java.util.List;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.verdict.Break.Rule;
import walkpost.lab.verdict.History.Attempt;

/** The rules that are about single requests: answered once, with what was made for them, and not repeated beyond their class. */
final class RequestRules {
    /** Each time limit is extended by so much (PROTOCOL, "The rules on sockets"). */
    static final long SLACK_US = 50_000;
    private static final long LATE_US = 500_000;
    /** More than one request in so many that is closed on at the door breaks the rule (STANDING). */
    private static final int DOOR_PART = 200;

    private final Evidence evidence;
    private final TimeLimits limits;
    private final Consumer<Break> breaks;

    RequestRules(Evidence evidence, TimeLimits limits, Consumer<Break> breaks) {
        this.evidence = evidence;
        this.limits = limits;
        this.breaks = breaks;
    }

    void check() {
        evidence.histories.forEach((id, history) -> {
            if (history.lastAsked() != null) {
                answer(id, history);
                body(id, history);
                repeat(id, history);
            }
        });
        for (Seen.Extra extra : evidence.all(Seen.Extra.class)) {
            breaks.accept(new Break(Rule.ANSWER, extra.t(), extra.proxy(), "", "an answer of status " + extra.status()
                    + " on connection " + extra.connection() + ", on which none was due"));
        }
        door();
    }

    private void answer(String id, History history) {
        Seen.Asked asked = history.lastAsked();
        if (history.answered.size() > 1) {
            broken(Rule.ANSWER, history.answered.get(1).t(), asked, id, "answered " + history.answered.size() + " times");
        }
        for (Seen.Closed closed : history.closed) {
            List<Attempt> attempts = history.through(closed.proxy()).stream().filter(a -> a.arrived.t() <= closed.t()).toList();
            if (evidence.excused(closed.proxy(), asked.t(), closed.t() + SLACK_US)) {
                continue;
            }
            if (closed.begun() && attempts.stream().noneMatch(a -> a.end == null || a.end.end() == Seen.End.DOWN)) {
                broken(Rule.ANSWER, closed.t(), asked, id, "the answer was broken off, though no server broke off");
            } else if (!closed.begun() && !closed.fresh() && !attempts.isEmpty()) {
                // An attempt proves that the proxy had read the request: the close did not cross it.
                broken(Rule.ANSWER, closed.t(), asked, id, "the connection was ended without an answer, after "
                        + attempts.size() + " attempts");
            }
        }
        long limit = asked.dueUs() + asked.patienceUs() + LATE_US + SLACK_US;
        // The client looks for its answer longer where it was held up itself; what it finds then is in time for that alone.
        if (!history.answered.isEmpty() && !evidence.excused(asked.proxy(), asked.t(), limit)
                && limits.passed(asked.dueUs(), history.answered.get(0).t(), limit, evidence.holdups.clients(asked.proxy()))) {
            broken(Rule.ANSWER, history.answered.get(0).t(), asked, id, "answered "
                    + (history.answered.get(0).t() - asked.dueUs() - asked.patienceUs()) / 1_000 + " ms after the client's time");
        }
        if (history.missed != null
                && !evidence.excused(asked.proxy(), asked.t(), asked.dueUs() + asked.patienceUs() + LATE_US)) {
            broken(Rule.ANSWER, history.missed.t(), asked, id, "no answer half a second after the client's time, "
                    + history.attempts.size() + " attempts");
        }
    }

    private void door() {
        long closed = evidence.histories.values().stream().flatMap(h -> h.closed.stream())
                .filter(c -> c.fresh() && !c.begun() && !evidence.excused(c.proxy(), c.t() - SLACK_US, c.t() + SLACK_US)).count();
        long asked = evidence.all(Seen.Asked.class).size();
        if (closed * DOOR_PART > asked && closed > 1) {
            breaks.accept(new Break(Rule.DOOR, evidence.endUs, -1, "", closed + " of " + asked
                    + " requests found their new connection closed with nothing"));
        }
    }

    private void body(String id, History history) {
        for (Seen.Answered answered : history.answered) {
            boolean made = history.attempts.stream().anyMatch(a -> a.end != null && a.end.end() == Seen.End.SERVED
                    && a.end.body() == answered.body() && a.arrived.proxy() == answered.proxy());
            if (answered.status() == 200 && !made) {
                broken(Rule.BODY, answered.t(), history.lastAsked(), id, "served with a body that no server made for it");
            }
        }
        for (Attempt attempt : history.attempts) {
            if (history.asked.stream().noneMatch(a -> a.content() == attempt.arrived.content())) {
                broken(Rule.BODY, attempt.arrived.t(), history.lastAsked(), id, "reached " + attempt.arrived.server()
                        + " with another method, path, key or body");
            }
        }
    }

    private void repeat(String id, History history) {
        Scenario.RequestClass requestClass = evidence.requestClass(history.lastAsked());
        Scenario.Bounds bounds = evidence.scenario.bounds();
        // A request that a close has crossed was sent twice by its client, so it may be tried twice as often.
        long most = (long) bounds.tries() * history.asked.size();
        if (history.attempts.size() > most) {
            broken(Rule.REPEAT, history.attempts.get(history.attempts.size() - 1).arrived.t(), history.lastAsked(), id,
                    history.attempts.size() + " attempts, " + most + " allowed");
        }
        for (int i = 1; i < history.attempts.size(); i++) {
            Attempt next = history.attempts.get(i);
            List<Attempt> earlier = history.attempts.subList(0, i);
            if (!bounds.duplicates() && earlier.stream().anyMatch(a -> stillOut(a, next.arrived.t())
                    && !evidence.silent(a.arrived.proxy(), a.arrived.server(), a.arrived.t(), next.arrived.t()))) {
                broken(Rule.REPEAT, next.arrived.t(), history.lastAsked(), id, "a second copy went out while the first was");
            }
            List<Attempt> ran = earlier.stream().filter(a -> !a.neverRan()).toList();
            if (ran.isEmpty()) {
                continue;
            }
            if (requestClass.effect() == Scenario.Effect.UNSAFE) {
                broken(Rule.REPEAT, next.arrived.t(), history.lastAsked(), id, "sent again after an attempt that may have run");
            } else if (requestClass.effect() == Scenario.Effect.KEYED) {
                long after = next.arrived.t() - ran.get(0).arrived.firstUs();
                if (limits.passed(ran.get(0).arrived.firstUs(), next.arrived.t(), ran.get(0).arrived.firstUs() + requestClass.windowUs()
                        + SLACK_US, evidence.loopOf(next.arrived.server()))) {
                    broken(Rule.REPEAT, next.arrived.t(), history.lastAsked(), id, "a keyed repeat after " + after / 1_000
                            + " ms, dropped only for " + requestClass.windowUs() / 1_000 + " ms");
                }
            }
        }
        boolean mayHaveRun = history.attempts.stream().anyMatch(a -> !a.neverRan());
        for (Seen.Answered answered : history.answered) {
            if (requestClass.effect() == Scenario.Effect.UNSAFE && mayHaveRun && (answered.status() == 429 || answered.status() == 503)) {
                broken(Rule.REPEAT, answered.t(), history.lastAsked(), id, "refused as if it had not run, though it may have");
            }
        }
    }

    /** Returns whether an attempt was out at a moment still, with a little for what crosses; its end is told by its server's loop. */
    private boolean stillOut(Attempt attempt, long t) {
        return attempt.end == null || limits.passed(t, attempt.end.t(), t + SLACK_US, evidence.loopOf(attempt.arrived.server()));
    }

    private void broken(Rule rule, long t, Seen.Asked asked, String id, String what) {
        breaks.accept(new Break(rule, t, asked.proxy(), id, what));
    }
}
