package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;

/**
 * What a play shows.
 *
 * @param word {@code kept}, {@code broken}, or {@code late} where the machine ran late and nothing else is to be believed
 * @param cut whether the ledger ends before the play did; judged is what stands before
 * @param breaks the rules that were broken, by time; none are told of a late play
 * @param unmet the expectations that were not met
 * @param lateP99Us between due and sent, the generator's own; -1 where the ledger was cut off
 * @param heldUs the longest that a loop of the lab was held up; -1 where the ledger was cut off
 * @param labCpuMs what the lab itself used
 */
public record Verdict(Word word, boolean cut, String scenario, long seed, String program, Figures figures, List<Break> breaks,
        List<String> unmet, long lateP99Us, long heldUs, long labCpuMs) {
    /** Past this the generator is late (proof 4 of the lab: a millisecond). */
    private static final long MOST_LATE_US = 1_000;
    /** Past this a stand-in was held up for so long that what proxies saw of it is the machine's doing. */
    private static final long MOST_HELD_US = 250_000;

    /** The verdict in a word. */
    public enum Word { KEPT, BROKEN, LATE }

    /** Judges a play by its record; of one that ran late nothing is told. */
    public static Verdict of(Scenario scenario, Plan plan, LedgerReader.Record record) {
        Verdict judged = judged(scenario, plan, record);
        boolean late = judged.lateP99Us() > MOST_LATE_US || judged.heldUs() > MOST_HELD_US;
        return !late ? judged : new Verdict(Word.LATE, judged.cut(), judged.scenario(), judged.seed(), judged.program(),
                judged.figures(), List.of(), List.of(), judged.lateP99Us(), judged.heldUs(), judged.labCpuMs());
    }

    /** Judges a play by its record, late or not: for plays in which nothing turns on time. */
    public static Verdict judged(Scenario scenario, Plan plan, LedgerReader.Record record) {
        var evidence = new Evidence(scenario, plan, record);
        var breaks = new ArrayList<Break>();
        new RequestRules(evidence, breaks::add).check();
        new ServerRules(evidence, breaks::add).check();
        new ProcessRules(evidence, breaks::add).check();
        CopyRules.check(evidence, breaks::add);
        breaks.sort(Comparator.comparingLong(Break::t));
        Figures figures = Figures.of(evidence);
        var unmet = new ArrayList<String>();
        expect(unmet, "g", figures.g(), scenario.expect().g());
        expect(unmet, "served", figures.served(), scenario.expect().served());
        expect(unmet, "last_served", figures.lastServed(), scenario.expect().lastServed());
        Seen.Finished end = record.seen().stream().filter(s -> s instanceof Seen.Finished).map(s -> (Seen.Finished) s).findFirst()
                .orElse(new Seen.Finished(0, false, -1, -1, -1));
        String program = record.seen().stream().filter(s -> s instanceof Seen.Begun).map(s -> ((Seen.Begun) s).program()).findFirst()
                .orElse("?");
        Word word = breaks.isEmpty() && unmet.isEmpty() ? Word.KEPT : Word.BROKEN;
        return new Verdict(word, record.cut() || !end.whole(), scenario.name(), plan.seed(), program, figures,
                List.copyOf(breaks), List.copyOf(unmet), end.lateP99Us(), end.heldUs(),
                end.labCpuMs());
    }

    private static void expect(List<String> unmet, String what, double is, double least) {
        if (is < least) {
            unmet.add(String.format(Locale.ROOT, "%s is %.3f, expected at least %.3f", what, is, least));
        }
    }

    /** Returns the last line of a play's report. */
    public String line() {
        return String.format(Locale.ROOT, "verdict: %s%s  G=%.3f  served=%.4f  late=%.4f  refused=%.4f  failed=%.4f  "
                + "timed_out=%.4f  unreached=%.4f  p50=%.1fms  p99=%.1fms  breaks=%d", word.name().toLowerCase(Locale.ROOT),
                cut ? " (cut off)" : "", figures.g(), figures.served(), figures.late(), figures.refused(), figures.failed(),
                figures.timedOut(), figures.unreached(), figures.p50Ms(), figures.p99Ms(), breaks.size());
    }
}
