package walkpost.lab.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.verdict.Break;
import walkpost.lab.verdict.Figures;
import walkpost.lab.verdict.FleetFigures;
import walkpost.lab.verdict.Lateness;
import walkpost.lab.verdict.Verdict;

/** One HTML page that opens without a network: the verdict, plots over time with the faults on them, and each broken rule's request. */
public final class Report {
    private static final double SECOND = 1e6;
    private static final int WIDTH = 980;
    private static final int HEIGHT = 300;
    /** So many broken rules are told with their requests' histories. */
    private static final int TOLD = 40;
    private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99};

    private final Scenario scenario;
    private final Plan plan;
    private final Verdict verdict;
    private final List<Seen> ledger;
    private final StringBuilder page = new StringBuilder();

    private Report(Scenario scenario, Plan plan, LedgerReader.Record record, Verdict verdict) {
        this.scenario = scenario;
        this.plan = plan;
        this.verdict = verdict;
        ledger = record.seen();
    }

    /** Returns the page of a play. */
    public static String page(Scenario scenario, Plan plan, LedgerReader.Record record, Verdict verdict) throws IOException {
        return new Report(scenario, plan, record, verdict).page();
    }

    private String page() throws IOException {
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>").append(escaped(scenario.name()))
                .append("</title><style>body{font:14px sans-serif;max-width:1000px;margin:2em auto;color:#222}table{border-collapse:collapse}"
                        + "td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child"
                        + "{text-align:left}.kept{color:#17703a}.broken,.late{color:#a8201a}pre{background:#f6f6f6;padding:6px;"
                        + "overflow-x:auto;font-size:12px}svg{max-width:100%;height:auto}</style></head><body>");
        String word = verdict.word().name().toLowerCase(Locale.ROOT);
        page.append("<h1>").append(escaped(scenario.name())).append(" <span class=\"").append(word).append("\">").append(word)
                .append("</span></h1><p>").append(escaped(scenario.about())).append(". Program ").append(escaped(verdict.program()))
                .append(", seed ").append(verdict.seed()).append(", ").append(scenario.fleet().proxies()).append(" proxies, ")
                .append(scenario.servers()).append(" tile servers, ").append(scenario.load().rate()).append(" requests a second.");
        if (verdict.cut()) {
            page.append(" <strong>The ledger ends before the play did; this is judged up to there.</strong>");
        }
        if (!verdict.unjudged().isEmpty()) {
            page.append(" <strong>The lab ran late: some of what is expected can't be judged.</strong>");
        }
        page.append("</p>");
        figures();
        faults();
        served();
        latency();
        servers();
        proxies();
        fleet();
        breaks();
        return page.append("</body></html>\n").toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private void figures() {
        Figures f = verdict.figures();
        Lateness late = verdict.lateness();
        page.append("<h2>Figures</h2><table><tr><th>G</th><th>whole</th><th>worst 10 s</th><th>worst class</th><th>worst tenant</th>"
                + "<th>in time</th><th>late</th><th>refused</th><th>failed</th><th>timed out</th><th>unreached</th></tr><tr>");
        for (double value : new double[] {f.g(), f.whole(), f.worstWindow(), f.worstClass(), f.worstTenant(), f.served(), f.late(),
            f.refused(), f.failed(), f.timedOut(), f.unreached()}) {
            page.append(String.format(Locale.ROOT, "<td>%.4f</td>", value));
        }
        page.append("</tr></table><p>Prices: ");
        f.prices().forEach((name, price) -> page.append(String.format(Locale.ROOT, "%s %.4f, ", name, price)));
        page.append(String.format(Locale.ROOT, "attempts a request %.2f, p50 %.1f ms, p99 %.1f ms. The lab: %.2f%% sent late, up to %.2f "
                + "ms (p99); a bare timer %.2f ms late (p99); a loop held up for %.1f ms at most, which excuses %d; %.1f s of CPU.</p>",
                f.attempts(), f.p50Ms(), f.p99Ms(), 100 * late.sentLate(), late.sentP99Us() / 1e3, late.machineP99Us() / 1e3,
                late.heldUs() / 1e3, verdict.excused(), verdict.labCpuMs() / 1e3));
        verdict.unjudged().forEach(u -> page.append("<p class=\"late\">Not judged: ").append(escaped(u)).append("</p>"));
        verdict.unmet().forEach(u -> page.append("<p class=\"broken\">Not met: ").append(escaped(u)).append("</p>"));
    }

    private void faults() {
        List<Seen.FaultIs> faults = all(Seen.FaultIs.class);
        if (!faults.isEmpty()) {
            page.append("<h2>Faults</h2><table><tr><th>fault</th><th>at</th><th>whom</th></tr>");
            for (Seen.FaultIs fault : faults) {
                Scenario.Whom whom = scenario.faults().get(fault.number()).whom();
                page.append(String.format(Locale.ROOT, "<tr><td>%s %s</td><td>%.2f s</td><td>%s%s</td></tr>",
                        fault.act().toLowerCase(Locale.ROOT), fault.ended() ? "ends" : "begins", fault.t() / SECOND,
                        whom == Scenario.Whom.PROXIES ? "" : whom.name().toLowerCase(Locale.ROOT) + " ", fault.whom()));
            }
            page.append("</table>");
        }
    }

    private <S extends Seen> List<S> all(Class<S> kind) {
        return ledger.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private void served() throws IOException {
        List<Figures.Window> windows = verdict.figures().windows();
        double[] seconds = windows.stream().mapToDouble(Figures.Window::fromS).toArray();
        var chart = chart("Offered and served", "requests due in the second");
        series(chart, "offered", seconds, windows.stream().mapToDouble(Figures.Window::offered).toArray());
        series(chart, "in time", seconds, windows.stream().mapToDouble(Figures.Window::inTime).toArray());
        series(chart, "late", seconds, windows.stream().mapToDouble(Figures.Window::late).toArray());
        series(chart, "refused", seconds, windows.stream().mapToDouble(Figures.Window::refused).toArray());
        series(chart, "other", seconds, windows.stream().mapToDouble(Figures.Window::other).toArray());
        draw(chart, true);
    }

    private void latency() throws IOException {
        var byClass = new LinkedHashMap<String, Histogram>();
        var due = new LinkedHashMap<String, Seen.Asked>();
        all(Seen.Asked.class).forEach(a -> due.put(a.id(), a));
        for (Seen.Answered answered : all(Seen.Answered.class)) {
            Seen.Asked asked = due.get(answered.id());
            if (answered.status() == 200 && asked != null) {
                Plan.Arrival arrival = plan.arrivals().get(asked.arrival());
                byClass.computeIfAbsent(scenario.classes().get(arrival.requestClass()).name(), k -> new Histogram(3_600_000_000L, 3))
                        .recordValue(Math.max(0, answered.t() - arrival.dueUs()));
            }
        }
        var chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title("Latency from the due time, of what was served")
                .xAxisTitle("percentile (nines)").yAxisTitle("ms").build();
        page.append("<h2>Latency</h2><table><tr><th>class</th><th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>most</th></tr>");
        byClass.forEach((name, latencies) -> {
            page.append(String.format(Locale.ROOT, "<tr><td>%s</td><td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.1f ms</td></tr>",
                    escaped(name), latencies.getValueAtPercentile(50) / 1e3, latencies.getValueAtPercentile(90) / 1e3,
                    latencies.getValueAtPercentile(99) / 1e3, latencies.getValueAtPercentile(99.9) / 1e3, latencies.getMaxValue() / 1e3));
            double[] x = new double[PERCENTILES.length];
            double[] y = new double[PERCENTILES.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = -Math.log10(1 - PERCENTILES[i] / 100);
                y[i] = latencies.getValueAtPercentile(PERCENTILES[i]) / 1e3;
            }
            series(chart, name, x, y);
        });
        page.append("</table>");
        if (!byClass.isEmpty()) {
            draw(chart, false);
        }
    }

    private void servers() throws IOException {
        var chart = chart("Utilisation of each tile server", "work done, of what it can do");
        var samples = new LinkedHashMap<String, List<Seen.Sampled>>();
        all(Seen.Sampled.class).stream().filter(s -> s.t() >= 0)
                .forEach(s -> samples.computeIfAbsent(s.server(), k -> new ArrayList<>()).add(s));
        samples.forEach((server, of) -> {
            Plan.Server machine = plan.servers().stream().filter(s -> s.id().equals(server)).findFirst().orElseThrow();
            double capacity = scenario.kinds().get(machine.kind()).cores() * machine.speed();
            rates(chart, server, of, Seen.Sampled::servedUs, capacity);
        });
        if (!samples.isEmpty()) {
            draw(chart, true);
        }
    }

    private void proxies() throws IOException {
        var cpu = chart("CPU of each proxy", "cores");
        var memory = chart("Memory of each proxy", "MiB");
        var samples = new LinkedHashMap<Integer, List<Seen.Used>>();
        all(Seen.Used.class).forEach(s -> samples.computeIfAbsent(s.proxy(), k -> new ArrayList<>()).add(s));
        samples.forEach((proxy, of) -> {
            rates(cpu, "n" + proxy, of, u -> u.cpuMs() * 1e3, 1);
            series(memory, "n" + proxy, of.stream().mapToDouble(u -> u.t() / SECOND).toArray(),
                    of.stream().mapToDouble(u -> u.memoryKb() / 1024.0).toArray());
        });
        if (!samples.isEmpty()) {
            draw(cpu, true);
            draw(memory, true);
        }
    }

    private void fleet() {
        FleetFigures f = verdict.fleet();
        if (f == null) {
            return;
        }
        page.append("<h2>Members</h2><p>").append(escaped(f.line())).append(String.format(Locale.ROOT, ". Processes beside the proxies had "
                + "%d descriptors open at the most, and %d MiB in all; those killed were back with all orders %.0f ms after they were "
                + "ready.</p>", f.descriptors(), f.memoryMb(), f.backMs()));
        page.append("<table><tr><th>order</th><th>in force at</th><th>of</th><th>p50</th><th>p99</th><th>all</th><th>last proxy shows it"
                + "</th></tr>");
        f.orders().forEach(o -> page.append(String.format(Locale.ROOT, "<tr><td>%s</td><td>%d</td><td>%d</td><td>%.0f ms</td><td>%.0f ms</td>"
                + "<td>%.0f ms</td><td>%.0f ms</td></tr>", escaped(o.order()), o.held(), o.of(), o.p50Ms(), o.p99Ms(), o.mostMs(), o.proxiesMs())));
        page.append("</table>");
    }

    private static <S extends Seen> void rates(XYChart chart, String name, List<S> of, ToDoubleFunction<S> sum, double unit) {
        var x = new ArrayList<Double>();
        var y = new ArrayList<Double>();
        for (int i = 1; i < of.size(); i++) {
            double seconds = (of.get(i).t() - of.get(i - 1).t()) / SECOND;
            double done = (sum.applyAsDouble(of.get(i)) - sum.applyAsDouble(of.get(i - 1))) / SECOND;
            // After a restart all sums begin anew.
            if (seconds > 0.2 && done >= 0) {
                x.add(of.get(i).t() / SECOND);
                y.add(done / seconds / unit);
            }
        }
        if (!x.isEmpty()) {
            series(chart, name, x.stream().mapToDouble(d -> d).toArray(), y.stream().mapToDouble(d -> d).toArray());
        }
    }

    private static XYChart chart(String title, String unit) {
        return new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle("seconds").yAxisTitle(unit).build();
    }

    private static void series(XYChart chart, String name, double[] x, double[] y) {
        if (x.length > 0) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    /** Draws a chart into the page; one over time with a line where each fault begins or ends. */
    private void draw(XYChart chart, boolean overTime) throws IOException {
        Styler styler = chart.getStyler();
        styler.setChartBackgroundColor(java.awt.Color.WHITE);
        styler.setLegendVisible(chart.getSeriesMap().size() <= 12);
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        if (overTime) {
            for (Seen.FaultIs fault : all(Seen.FaultIs.class)) {
                chart.addAnnotation(new AnnotationLine(fault.t() / SECOND, true, false));
            }
        }
        var out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        page.append(svg.substring(svg.indexOf("<svg")));
    }

    private void breaks() {
        page.append("<h2>Broken rules</h2>");
        if (verdict.breaks().isEmpty()) {
            page.append("<p>None.</p>");
            return;
        }
        Map<String, List<Seen>> histories = histories();
        for (Break broken : verdict.breaks().subList(0, Math.min(TOLD, verdict.breaks().size()))) {
            page.append(String.format(Locale.ROOT, "<p><strong>%s</strong> at %.3f s%s: %s</p>",
                    broken.rule().name().toLowerCase(Locale.ROOT), broken.t() / SECOND,
                    broken.proxy() < 0 ? "" : " by proxy " + broken.proxy(), escaped(broken.what())));
            List<Seen> history = histories.getOrDefault(broken.id(), List.of());
            if (!history.isEmpty()) {
                page.append("<pre>");
                history.forEach(s -> page.append(String.format(Locale.ROOT, "%10.3f  %s%n", s.t() / SECOND, escaped(s.toString()))));
                page.append("</pre>");
            }
        }
        if (verdict.breaks().size() > TOLD) {
            page.append("<p>").append(verdict.breaks().size() - TOLD).append(" more.</p>");
        }
    }

    private Map<String, List<Seen>> histories() {
        var histories = new LinkedHashMap<String, List<Seen>>();
        for (Seen seen : ledger) {
            String id = seen instanceof Seen.Asked s ? s.id() : seen instanceof Seen.Answered s ? s.id()
                    : seen instanceof Seen.Closed s ? s.id() : seen instanceof Seen.Left s ? s.id()
                    : seen instanceof Seen.Missed s ? s.id() : seen instanceof Seen.Arrived s ? s.id()
                    : seen instanceof Seen.Replied s ? s.id() : seen instanceof Seen.Unsent s ? s.id()
                    : seen instanceof Seen.Stranger s ? s.id() : null;
            if (id != null) {
                histories.computeIfAbsent(id, k -> new ArrayList<>()).add(seen);
            }
        }
        return histories;
    }
}
