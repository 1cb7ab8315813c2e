package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;

/**
 * What became of one arrival, all its tries together.
 *
 * @param worth what it earns if it is served in time
 * @param within whether it lies within its tenant's share
 * @param latencyUs from due to the answer, where there was one
 * @param afterAim whether it was not served in time, and its client was left waiting beyond the aim
 * @param sentLate whether the lab handed it over later than a stated part of its aim
 * @param swayed whether the lab's own lateness may have decided whether it was served in time
 */
record Outcome(Plan.Arrival arrival, Fate fate, double worth, boolean within, long latencyUs, boolean afterAim, boolean sentLate,
        boolean swayed) {
    /** Lateness up to this part of a class's aim is none. */
    static final int AIM_PART = 100;
    private static final long SECOND = 1_000_000;
    private static final double OVER_SHARE = 0.05;

    /** How it ended. */
    enum Fate { IN_TIME, LATE, REFUSED, FAILED, TIMED_OUT, UNREACHED, OPEN }

    /** Returns what became of each arrival; what was still open when the ledger was cut off is left out. */
    static List<Outcome> of(Evidence evidence) {
        var outcomes = new ArrayList<Outcome>();
        var inSecond = new HashMap<String, Integer>();
        for (Plan.Arrival arrival : evidence.plan.arrivals()) {
            if (arrival.dueUs() > evidence.endUs) {
                break;
            }
            Outcome outcome = of(evidence, arrival, within(evidence, arrival, inSecond));
            if (outcome.fate() != Fate.OPEN || !evidence.cut) {
                outcomes.add(outcome);
            }
        }
        return outcomes;
    }

    /** Returns the same if the lab's lateness had decided for it, or against it, wherever it may have. */
    Outcome leaning(boolean served) {
        if (!swayed) {
            return this;
        }
        Fate other = served ? Fate.IN_TIME : fate == Fate.IN_TIME ? Fate.LATE : fate;
        return new Outcome(arrival, other, worth, within, latencyUs, !served, sentLate, true);
    }

    private static boolean within(Evidence evidence, Plan.Arrival arrival, Map<String, Integer> inSecond) {
        if (arrival.tenant() < 0) {
            return true;
        }
        double allowance = evidence.scenario.tenants().get(arrival.tenant()).allowance();
        return inSecond.merge(arrival.tenant() + "/" + arrival.dueUs() / SECOND, 1, Integer::sum) <= allowance;
    }

    private static Outcome of(Evidence evidence, Plan.Arrival arrival, boolean within) {
        Scenario.RequestClass requestClass = evidence.scenario.classes().get(arrival.requestClass());
        Fate fate = Fate.OPEN;
        long latency = 0;
        long work = arrival.workUs();
        boolean afterAim = false;
        long end = evidence.endUs;
        long lateUs = 0;
        Set<Holdups.Loop> loops = new HashSet<>();
        for (Plan.Try attempt : arrival.tries()) {
            History history = evidence.histories.get(attempt.id());
            if (history == null) {
                break;
            }
            if (history.lastAsked() != null) {
                work = history.lastAsked().workUs();
                lateUs = Math.max(lateUs, history.lastAsked().lateUs());
            }
            loops(evidence, history, loops);
            end = Long.MAX_VALUE;
            if (!history.answered.isEmpty()) {
                Seen.Answered answered = history.answered.get(0);
                end = answered.t();
                latency = end - arrival.dueUs();
                fate = switch (answered.status()) {
                    case 200 -> latency <= requestClass.aimUs() ? Fate.IN_TIME : Fate.LATE;
                    case 429, 503 -> Fate.REFUSED;
                    default -> Fate.FAILED;
                };
            } else if (history.left != null) {
                end = history.left.t();
                fate = history.lastAsked() == null ? Fate.UNREACHED : Fate.TIMED_OUT;
            } else if (history.unsent != null || !history.closed.isEmpty()) {
                end = history.unsent != null ? history.unsent.t() : history.closed.get(history.closed.size() - 1).t();
                fate = Fate.UNREACHED;
            }
            afterAim = fate != Fate.IN_TIME && end - arrival.dueUs() > requestClass.aimUs();
        }
        double worth = requestClass.worth() * work * (within ? 1 : OVER_SHARE);
        long least = requestClass.aimUs() / AIM_PART;
        long openUntil = Math.min(end, evidence.endUs);
        long swayUs = lateUs + evidence.holdups.sway(arrival.dueUs(), openUntil, loops);
        boolean swayed = swayUs > least && mayHaveDecided(fate, openUntil - arrival.dueUs() - requestClass.aimUs(), swayUs);
        return new Outcome(arrival, fate, worth, within, latency, afterAim, lateUs > least, swayed);
    }

    /** Adds the loops of the lab that a try passed: any server's, where it was sent to none for a reason that may lie with them. */
    private static void loops(Evidence evidence, History history, Set<Holdups.Loop> loops) {
        history.asked.forEach(a -> loops.add(evidence.holdups.clients(a.proxy())));
        if (history.attempts.isEmpty()) {
            loops.addAll(evidence.holdups.servers());
        }
        history.attempts.forEach(a -> loops.add(evidence.loopOf(a.arrived.server())));
    }

    /** An answer's time is moved by the lateness at most; what became no answer could have become one. */
    private static boolean mayHaveDecided(Fate fate, long pastAimUs, long swayUs) {
        return switch (fate) {
            case IN_TIME -> -pastAimUs < swayUs;
            case LATE, TIMED_OUT -> pastAimUs < swayUs;
            case REFUSED, FAILED, UNREACHED, OPEN -> true;
        };
    }
}
