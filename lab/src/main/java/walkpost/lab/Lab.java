package walkpost.lab;

import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.play.Play;
import walkpost.lab.process.Cores;
import walkpost.lab.process.Program;
import walkpost.lab.report.Report;
import walkpost.lab.scenario.BadScenario;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Planner;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.Verdict;

/**
 * The lab as its users see it. A play leaves a folder: the scenario and the seed it was played with, the plan, the ledger,
 * the processes' logs, and the result. All that a judge needs is in there.
 */
public final class Lab {
    /** The scenario as it was played. */
    private static final String SCENARIO = "scenario.toml";
    /** The seed and the program, as JSON. */
    private static final String PLAYED = "played.json";
    /** The verdict with all its figures, as JSON. */
    public static final String RESULT = "result.json";
    /** The page for people. */
    private static final String REPORT = "report.html";
    /** What {@link #RESULT} is written in; raised when a field changes its meaning or goes. */
    public static final int RESULT_FORMAT = 2;
    private static final String LOAD = """
            name = "load-%d"
            about = "clients and tile servers alone, without a proxy between them"
            length = "%ds"
            [load]
            rate = %d
            [fleet]
            proxies = 1
            [[servers]]
            kind = "box"
            count = %d
            speed = 1
            slots = 64
            room = 64
            errors = 0.0
            [[classes]]
            name = "tile-view"
            share = 1
            work = "1ms"
            waits = "2ms"
            aim = "200ms"
            deadline = "1s"
            worth = 1
            effect = "safe"
            """;
    private static final int COST_S = 16;
    private static final int COST_SERVERS = 40;
    /** A play that is stopped ends its processes and is judged within so long. */
    private static final long STOP_MS = 8_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Lab() { }

    /**
     * Plays a scenario once and judges it.
     *
     * @param program null for none: clients then send straight to the tile servers
     * @param other what faults bring in; null for nothing
     * @param out a folder that holds no play yet
     * @throws BadScenario if the scenario can't be played
     * @throws IOException if the folder can't be used, or a process not be started
     */
    public static Verdict run(Path scenario, long seed, Program program, Program other, Path out, Play.Progress progress)
            throws BadScenario, IOException {
        Scenario read = ScenarioReader.read(scenario);
        if (read.bringsOther() && other == null) {
            throw new BadScenario(scenario + ": brings another program in, expected to be told which");
        }
        Files.createDirectories(out);
        try (Stream<Path> there = Files.list(out)) {
            if (there.findAny().isPresent()) {
                throw new IOException(out + ": not empty, expected a new folder");
            }
        }
        Files.copy(scenario, out.resolve(SCENARIO));
        Path base = ScenarioReader.base(scenario);
        if (base != null) {
            Files.copy(base, out.resolve(base.getFileName()));
        }
        JSON.writeValue(out.resolve(PLAYED).toFile(), Map.of("seed", seed, "program", program == null ? "none" : program.name(),
                "other", other == null ? "none" : other.name()));
        Cores.keepLabOff(out, program == null ? 0 : read.processes());
        var play = new Play(read, seed, program, other, out, progress);
        Thread player = Thread.currentThread();
        // Ctrl-C, SIGTERM or a terminal that goes away: what was seen until then is still judged.
        var hook = new Thread(() -> {
            play.stop();
            try {
                player.join(STOP_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop the play");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            play.run();
            return judge(out);
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                progress.at(1, "stopped early");
            }
        }
    }

    /**
     * Sends a load straight to tile servers, to see what generator and stand-ins bear: the program is then judged by what they
     * could have done.
     *
     * @throws IOException if the folder can't be used
     */
    public static Verdict load(int rate, int seconds, int servers, long seed, Path out, Play.Progress progress)
            throws BadScenario, IOException {
        return steady(rate, seconds, servers, seed, null, out, progress);
    }

    private static Verdict steady(int rate, int seconds, int servers, long seed, Program program, Path out, Play.Progress progress)
            throws BadScenario, IOException {
        Path file = Files.createTempFile("load", ".toml");
        try {
            Files.writeString(file, String.format(java.util.Locale.ROOT, LOAD, rate, seconds, rate, servers));
            return run(file, seed, program, null, out, progress);
        } finally {
            Files.delete(file);
        }
    }

    /** What one proxy used at a rate: CPU a request in the second half, when its code is warm, in microseconds. */
    public record Cost(double cpuUs, Verdict verdict) { }

    /**
     * Plays one proxy before servers with room to spare, at a steady rate.
     *
     * @throws IOException if the folder can't be used, or the program not be started
     */
    public static Cost cost(Program program, int rate, Path out) throws BadScenario, IOException {
        Verdict verdict = steady(rate, COST_S, COST_SERVERS, 1, program, out, (part, what) -> { });
        List<Seen.Used> used = LedgerReader.read(out.resolve(Play.LEDGER)).seen().stream()
                .filter(s -> s instanceof Seen.Used u && u.t() >= COST_S / 2 * 1_000_000L - 100_000).map(s -> (Seen.Used) s).toList();
        if (used.size() < 2) {
            throw new IOException(out + ": the proxy did not live to be measured");
        }
        Seen.Used from = used.get(0);
        Seen.Used to = used.get(used.size() - 1);
        long requests = verdict.figures().windows().stream()
                .filter(w -> w.fromS() * 1e6 >= from.t() - 5e5 && w.fromS() * 1e6 < to.t() - 5e5).mapToLong(w -> w.offered()).sum();
        return new Cost((to.cpuMs() - from.cpuMs()) * 1e3 / Math.max(1, requests), verdict);
    }

    /**
     * Judges a recorded play again, and writes its result anew.
     *
     * @throws BadScenario if the folder's scenario can't be read
     * @throws IOException if the folder holds no play
     */
    public static Verdict judge(Path folder) throws BadScenario, IOException {
        var play = new Recorded(folder);
        Verdict verdict = play.verdict();
        var result = JSON.createObjectNode().put("format", RESULT_FORMAT);
        result.setAll((ObjectNode) JSON.valueToTree(verdict));
        JSON.writer(new DefaultPrettyPrinter()).writeValue(folder.resolve(RESULT).toFile(), result);
        return verdict;
    }

    /**
     * Writes a recorded play's page; returns where it is.
     *
     * @throws BadScenario if the folder's scenario can't be read
     * @throws IOException if the folder holds no play
     */
    public static Path report(Path folder) throws BadScenario, IOException {
        var play = new Recorded(folder);
        Path page = folder.resolve(REPORT);
        Files.writeString(page, Report.page(play.scenario, play.plan, play.record, play.verdict()));
        return page;
    }

    /** A play's folder, read. */
    private static final class Recorded {
        private final Scenario scenario;
        private final Plan plan;
        private final LedgerReader.Record record;

        private Recorded(Path folder) throws BadScenario, IOException {
            scenario = ScenarioReader.read(folder.resolve(SCENARIO));
            plan = Planner.plan(scenario, JSON.readTree(folder.resolve(PLAYED).toFile()).path("seed").asLong());
            record = LedgerReader.read(folder.resolve(Play.LEDGER));
        }

        private Verdict verdict() {
            return Verdict.of(scenario, plan, record);
        }
    }
}
