package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Outcome.Fate;

/**
 * What the play was worth. G and its prices are counted as BRIEF has them for the operators' room: the worth answered within
 * its aim over the worth asked for, a request's tries belonging together, mixed with the worst 10 s, class and tenant.
 *
 * @param g what counts
 * @param whole the part of all worth served in time
 * @param worstWindow the same of the worst 10 s
 * @param worstClass the same of the class worst off
 * @param worstTenant the same of the tenant worst off, within its share
 * @param served the part of requests, not of worth, served in time
 * @param lastServed the same of the last quarter
 * @param late the part served after its aim
 * @param refused the part whose last try was refused
 * @param failed the part whose last try failed with an answer
 * @param timedOut the part whose clients left with none
 * @param unreached the part that could not be written, or was closed on
 * @param p50Ms of latency from the due time, of all that was served
 * @param attempts at servers for each request
 * @param prices what was taken off, by name
 * @param windows of a second each, by time
 */
public record Figures(double g, double whole, double worstWindow, double worstClass, double worstTenant, long requests,
        double served, double lastServed, double late, double refused, double failed, double timedOut, double unreached,
        double p50Ms, double p99Ms, double attempts, Map<String, Double> prices, List<Window> windows) {
    private static final long SECOND = 1_000_000;
    private static final int WORST_S = 10;
    /** The weights of the whole, the worst window, class and tenant (BRIEF, "Score"). */
    private static final double[] GOAL = {0.35, 0.35, 0.2, 0.1};
    /** What each costs in full (BRIEF, "What costs points"). */
    private static final double LATE_FAIL = 0.076;
    private static final double WASTE = 0.052;
    private static final double HANDSHAKE = 0.03;
    private static final double CONNECTION = 0.03;
    private static final double PROBE = 0.015;
    private static final double PEERS = 0.3;

    /** A second of the play: requests that were due in it, and what became of them. */
    public record Window(int fromS, int offered, int inTime, int late, int refused, int other) { }

    static Figures of(Evidence evidence, List<Outcome> outcomes) {
        int seconds = (int) Math.max(1, (evidence.scenario.lengthUs() + SECOND - 1) / SECOND);
        double[] asked = new double[seconds];
        double[] got = new double[seconds];
        int[][] fates = new int[seconds][Fate.values().length];
        var latencies = new Histogram(3_600_000_000L, 3);
        for (Outcome o : outcomes) {
            int s = (int) Math.min(seconds - 1, o.arrival().dueUs() / SECOND);
            asked[s] += o.worth();
            got[s] += o.fate() == Fate.IN_TIME ? o.worth() : 0;
            fates[s][o.fate().ordinal()]++;
            if (o.fate() == Fate.IN_TIME || o.fate() == Fate.LATE) {
                latencies.recordValue(Math.max(0, o.latencyUs()));
            }
        }
        double whole = ratio(Arrays.stream(got).sum(), Arrays.stream(asked).sum());
        double worstWindow = whole;
        for (int from = 0; from + WORST_S <= seconds; from++) {
            worstWindow = Math.min(worstWindow, ratio(Arrays.stream(got, from, from + WORST_S).sum(),
                    Arrays.stream(asked, from, from + WORST_S).sum()));
        }
        double worstClass = worst(outcomes, o -> o.arrival().requestClass());
        double worstTenant = worst(outcomes.stream().filter(Outcome::within).toList(), o -> o.arrival().tenant());
        Map<String, Double> prices = prices(evidence, outcomes);
        double g = GOAL[0] * whole + GOAL[1] * worstWindow + GOAL[2] * worstClass + GOAL[3] * worstTenant
                - prices.values().stream().mapToDouble(p -> p).sum();
        long quarter = evidence.scenario.lengthUs() * 3 / 4;
        List<Outcome> last = outcomes.stream().filter(o -> o.arrival().dueUs() >= quarter).toList();
        var windows = new ArrayList<Window>();
        for (int s = 0; s < seconds; s++) {
            int all = Arrays.stream(fates[s]).sum();
            int inTime = fates[s][Fate.IN_TIME.ordinal()];
            int late = fates[s][Fate.LATE.ordinal()];
            int refused = fates[s][Fate.REFUSED.ordinal()];
            windows.add(new Window(s, all, inTime, late, refused, all - inTime - late - refused));
        }
        double attempts = evidence.histories.values().stream().mapToInt(h -> h.attempts.size()).sum();
        return new Figures(g, whole, worstWindow, worstClass, worstTenant, outcomes.size(), part(outcomes, Fate.IN_TIME),
                part(last, Fate.IN_TIME), part(outcomes, Fate.LATE), part(outcomes, Fate.REFUSED), part(outcomes, Fate.FAILED),
                part(outcomes, Fate.TIMED_OUT), part(outcomes, Fate.UNREACHED), latencies.getValueAtPercentile(50) / 1e3,
                latencies.getValueAtPercentile(99) / 1e3, ratio(attempts, outcomes.size()), prices, List.copyOf(windows));
    }

    private static double ratio(double part, double all) {
        return all > 0 ? part / all : 0;
    }

    private static double part(List<Outcome> outcomes, Fate fate) {
        return ratio(outcomes.stream().filter(o -> o.fate() == fate).count(), outcomes.size());
    }

    private static double worst(List<Outcome> outcomes, java.util.function.ToIntFunction<Outcome> by) {
        var asked = new HashMap<Integer, Double>();
        var got = new HashMap<Integer, Double>();
        for (Outcome o : outcomes) {
            asked.merge(by.applyAsInt(o), o.worth(), Double::sum);
            got.merge(by.applyAsInt(o), o.fate() == Fate.IN_TIME ? o.worth() : 0, Double::sum);
        }
        return asked.keySet().stream().mapToDouble(k -> ratio(got.get(k), asked.get(k))).min().orElse(0);
    }

    private static Map<String, Double> prices(Evidence evidence, List<Outcome> outcomes) {
        double worth = outcomes.stream().mapToDouble(Outcome::worth).sum();
        double lateFail = outcomes.stream().filter(Outcome::afterAim).mapToDouble(Outcome::worth).sum();
        double wasted = 0;
        double offered = 0;
        for (History history : evidence.histories.values()) {
            Seen.Asked asked = history.lastAsked();
            if (asked == null) {
                continue;
            }
            offered += asked.attempt() == 0 ? asked.workUs() : 0;
            long useful = history.answered.stream().filter(a -> a.status() == 200).count();
            long ran = history.attempts.stream().filter(a -> a.end != null && a.end.end() != Seen.End.TURNED_AWAY
                    && a.end.end() != Seen.End.ERROR).count();
            wasted += Math.max(0, ran - useful) * asked.workUs();
        }
        var accepted = new HashMap<String, Long>();
        var probes = new HashMap<String, Long>();
        double open = 0;
        long samples = 0;
        for (Seen.Sampled s : evidence.all(Seen.Sampled.class)) {
            accepted.merge(s.server(), s.accepted(), Math::max);
            probes.merge(s.server(), s.probes(), Math::max);
            open += s.open();
            samples++;
        }
        List<Seen.PeerIs> peers = evidence.all(Seen.PeerIs.class);
        long ignored = peers.stream().filter(p -> p.got() == Seen.Got.NOTHING && !evidence.excused(p.proxy(), p.sinceUs(), p.t())).count();
        var prices = new java.util.TreeMap<String, Double>();
        prices.put("late_fail", LATE_FAIL * ratio(lateFail, worth));
        prices.put("waste", WASTE * ratio(wasted, offered));
        prices.put("handshake", HANDSHAKE * ratio(accepted.values().stream().mapToLong(v -> v).sum(), outcomes.size()));
        prices.put("connection", CONNECTION * ratio(open, samples) / 100);
        prices.put("probe", PROBE * ratio(probes.values().stream().mapToLong(v -> v).sum(), outcomes.size()));
        prices.put("peers", PEERS * ratio(ignored, peers.size()));
        return prices;
    }
}
