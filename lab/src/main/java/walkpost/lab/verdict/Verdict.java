package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;

/**
 * What a play shows.
 *
 * @param word {@code kept}; {@code broken} where a rule was broken or an expectation not met; {@code late} where neither is so but
 *     the lab's lateness leaves open whether an expectation was met
 * @param cut whether the ledger ends before the play did; judged is what stands before
 * @param breaks the rules that were broken, by time
 * @param excused how many more there would be if the time in which the lab was held up counted as the proxies'
 * @param unmet the expectations that were not met, whatever the lateness did
 * @param unjudged the expectations of which that can't be said
 * @param rooms how far lateness leaves the figures open of which something may be expected, by their names in a scenario
 * @param labCpuMs what the lab itself used
 * @param fleet what members cost, and how soon orders were in force; null where no processes vote beside the proxies
 */
public record Verdict(Word word, boolean cut, String scenario, long seed, String program, Figures figures, List<Break> breaks,
        int excused, List<String> unmet, List<String> unjudged, Lateness lateness, Map<String, Room> rooms, long labCpuMs, FleetFigures fleet) {
    /** The share of requests served in time in the last quarter, by its name in a scenario. */
    public static final String LAST_SERVED = "last_served";

    /** The verdict in a word. */
    public enum Word { KEPT, BROKEN, LATE }

    /** Judges a play by its record: the rules in every play, the figures where lateness leaves no doubt. */
    public static Verdict of(Scenario scenario, Plan plan, LedgerReader.Record record) {
        var evidence = new Evidence(scenario, plan, record);
        var limits = new TimeLimits(evidence.holdups);
        var breaks = new ArrayList<Break>();
        new RequestRules(evidence, limits, breaks::add).check();
        new ServerRules(evidence, limits, breaks::add).check();
        new ProcessRules(evidence, breaks::add).check();
        CopyRules.check(evidence, breaks::add);
        breaks.sort(Comparator.comparingLong(Break::t));
        List<Outcome> outcomes = Outcome.of(evidence);
        Figures figures = Figures.of(evidence, outcomes);
        Figures lost = Figures.of(evidence, outcomes.stream().map(o -> o.leaning(false)).toList());
        Figures served = Figures.of(evidence, outcomes.stream().map(o -> o.leaning(true)).toList());
        var rooms = new TreeMap<String, Room>();
        rooms.put("g", new Room(figures.g(), lost.g(), served.g()));
        rooms.put("served", new Room(figures.served(), lost.served(), served.served()));
        rooms.put(LAST_SERVED, new Room(figures.lastServed(), lost.lastServed(), served.lastServed()));
        var unmet = new ArrayList<String>();
        var unjudged = new ArrayList<String>();
        expected(scenario.expect()).forEach((name, least) -> {
            Room room = rooms.get(name);
            switch (room.atLeast(least)) {
                case MET -> { }
                case UNMET -> unmet.add(String.format(Locale.ROOT, "%s is %.3f, expected at least %.3f", name, room.is(), least));
                case OPEN -> unjudged.add(String.format(Locale.ROOT, "%s is %.3f, and with what lateness may have decided from %.3f to "
                        + "%.3f; expected at least %.3f", name, room.is(), room.from(), room.to(), least));
            }
        });
        Seen.Finished end = record.seen().stream().filter(s -> s instanceof Seen.Finished).map(s -> (Seen.Finished) s).findFirst()
                .orElse(new Seen.Finished(0, false, -1, -1, -1, -1));
        String program = record.seen().stream().filter(s -> s instanceof Seen.Begun).map(s -> ((Seen.Begun) s).program()).findFirst()
                .orElse("?");
        Word word = !breaks.isEmpty() || !unmet.isEmpty() ? Word.BROKEN : unjudged.isEmpty() ? Word.KEPT : Word.LATE;
        return new Verdict(word, record.cut() || !end.whole(), scenario.name(), plan.seed(), program, figures,
                List.copyOf(breaks), limits.excused(), List.copyOf(unmet), List.copyOf(unjudged), Lateness.of(outcomes, end),
                Collections.unmodifiableMap(rooms), end.labCpuMs(), FleetFigures.of(evidence));
    }

    private static Map<String, Double> expected(Scenario.Expect expect) {
        return new TreeMap<>(Map.of("g", expect.g(), "served", expect.served(), LAST_SERVED, expect.lastServed()));
    }

    /** Returns the last line of a play's report. */
    public String line() {
        Room g = rooms.get("g");
        return String.format(Locale.ROOT, "verdict: %s%s  G=%.3f (%.3f to %.3f)  sent_late=%.4f  machine_late=%.1fms  served=%.4f  "
                + "late=%.4f  refused=%.4f  failed=%.4f  timed_out=%.4f  unreached=%.4f  p50=%.1fms  p99=%.1fms  breaks=%d  excused=%d",
                word.name().toLowerCase(Locale.ROOT), cut ? " (cut off)" : "", figures.g(), g.from(), g.to(), lateness.sentLate(),
                lateness.machineP99Us() / 1e3, figures.served(), figures.late(), figures.refused(), figures.failed(), figures.timedOut(),
                figures.unreached(), figures.p50Ms(), figures.p99Ms(), breaks.size(), excused);
    }
}
