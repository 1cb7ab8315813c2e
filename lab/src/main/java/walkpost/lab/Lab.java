package walkpost.lab;

import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.play.Play;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.BadScenario;
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
    /** What {@link #RESULT} is written in; raised when a field changes its meaning or goes. */
    public static final int RESULT_FORMAT = 1;
    /** A play that is stopped ends its processes and is judged within so long. */
    private static final long STOP_MS = 8_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Lab() { }

    /**
     * Plays a scenario once and judges it.
     *
     * @param out a folder that holds no play yet
     * @throws BadScenario if the scenario can't be played
     * @throws IOException if the folder can't be used, or a process not be started
     */
    public static Verdict run(Path scenario, long seed, Program program, Path out, Play.Progress progress)
            throws BadScenario, IOException {
        Scenario read = ScenarioReader.read(scenario);
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
        JSON.writeValue(out.resolve(PLAYED).toFile(), Map.of("seed", seed, "program", program.name()));
        var play = new Play(read, seed, program, out, progress);
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
     * Judges a recorded play again, and writes its result anew.
     *
     * @throws BadScenario if the folder's scenario can't be read
     * @throws IOException if the folder holds no play
     */
    public static Verdict judge(Path folder) throws BadScenario, IOException {
        Scenario scenario = ScenarioReader.read(folder.resolve(SCENARIO));
        JsonNode played = JSON.readTree(folder.resolve(PLAYED).toFile());
        LedgerReader.Record record = LedgerReader.read(folder.resolve(Play.LEDGER));
        Verdict verdict = Verdict.of(scenario, Planner.plan(scenario, played.path("seed").asLong()), record);
        var result = JSON.createObjectNode().put("format", RESULT_FORMAT);
        result.setAll((com.fasterxml.jackson.databind.node.ObjectNode) JSON.valueToTree(verdict));
        JSON.writer(new DefaultPrettyPrinter()).writeValue(folder.resolve(RESULT).toFile(), result);
        return verdict;
    }
}
