package walkpost.lab.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.lab.baseline.Wrong;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.BadScenario;
import walkpost.lab.scenario.Planner;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.Break;
import walkpost.lab.verdict.Break.Rule;
import walkpost.lab.verdict.Verdict;

/** The checker finds what each deliberately wrong proxy does, in real processes, and nothing in a right one. */
@Execution(ExecutionMode.CONCURRENT)
final class PlantedFaultsTest {
    /** Limits are wide, so that a busy machine does not break the rules for a right proxy. */
    private static final String SCENARIO = """
            name = "planted"
            about = "drains, a new server and peers that don't behave, under a light load"
            length = "4s"
            [fleet]
            proxies = 1
            [[servers]]
            kind = "box"
            count = 7
            speed = 1
            slots = 20
            room = 50
            cold_from = 0.25
            cold = "60s"
            cancel = "queued"
            errors = 0.08
            [[classes]]
            name = "tile-view"
            share = 0.6
            work = "4ms"
            waits = "2ms"
            aim = "2s"
            deadline = "6s"
            worth = 1
            effect = "safe"
            [[classes]]
            name = "repro-order"
            share = 0.2
            work = "4ms"
            waits = "2ms"
            aim = "2s"
            deadline = "6s"
            worth = 10
            effect = "keyed"
            window = "2s"
            [[classes]]
            name = "payment"
            share = 0.2
            work = "4ms"
            waits = "2ms"
            aim = "2s"
            deadline = "6s"
            worth = 10
            effect = "unsafe"
            [load]
            rate = 200
            [clients]
            retries = 0
            patience = 1.0
            [discovery]
            notice = "100ms"
            add = "100ms"
            [bounds]
            duplicates = false
            [rules]
            drain = "1s"
            cold_from = 0.1
            cold = "60s"
            fall_multiple = 2
            [peers]
            improper = 5
            [[faults]]
            act = "drain"
            at = "500ms"
            length = "3s"
            servers = [2]
            [[faults]]
            act = "join"
            at = "300ms"
            servers = [0]
            """;
    private static final String SILENT_NAME = "asked";
    private static final String PUSHED_NAME = "pushed";
    private static final Map<Wrong, Rule> BREAKS = new EnumMap<>(Map.ofEntries(
            Map.entry(Wrong.ANSWERS_TWICE, Rule.ANSWER), Map.entry(Wrong.DROPS, Rule.ANSWER),
            Map.entry(Wrong.HANGS_UP, Rule.ANSWER), Map.entry(Wrong.BREAKS_OFF, Rule.ANSWER),
            Map.entry(Wrong.SERVES_THE_RUDE, Rule.ANSWER), Map.entry(Wrong.SHUTS_THE_DOOR, Rule.DOOR),
            Map.entry(Wrong.INVENTS, Rule.BODY), Map.entry(Wrong.SWAPS, Rule.BODY), Map.entry(Wrong.CHANGES_KEYS, Rule.BODY),
            Map.entry(Wrong.REPEATS_LATE, Rule.REPEAT), Map.entry(Wrong.TRIES_TOO_OFTEN, Rule.REPEAT),
            Map.entry(Wrong.REPEATS_UNSAFE, Rule.REPEAT), Map.entry(Wrong.COPIES, Rule.REPEAT),
            Map.entry(Wrong.IGNORES_DRAINS, Rule.DRAIN), Map.entry(Wrong.FLOODS_COLD, Rule.COLD),
            Map.entry(Wrong.MAKES_REQUESTS, Rule.STRANGER), Map.entry(Wrong.CRASHES, Rule.PROCESS)));

    /** The lab's own loops stand still three times, for longer than any limit's slack. */
    private static final String HELD = """
            [[faults]]
            act = "hold"
            at = "800ms"
            length = "250ms"
            [[faults]]
            act = "hold"
            at = "1900ms"
            length = "400ms"
            [[faults]]
            act = "hold"
            at = "3100ms"
            length = "150ms"
            """;
    /** Watches fall silent before a server drains, which goes on until after the silence counts as over, 6 s after it began. */
    private static final String SILENT = SCENARIO.replace("length = \"4s\"", "length = \"9s\"").replace("rate = 200", "rate = 60")
            .replace("length = \"3s\"", "length = \"9s\"").replace("drain = \"1s\"", "drain = \"1s\"\nask = \"1s\"") + """
            [[faults]]
            act = "discovery"
            at = "400ms"
            length = "50ms"
            silent = true
            """;
    private static final String PUSHED = SILENT.replace("[discovery]", "[discovery]\npushed = true");

    @TempDir
    private Path dir;

    private Verdict played(String toml, Wrong wrong, long seed) throws IOException, BadScenario {
        Scenario scenario = ScenarioReader.parse(toml);
        new Play(scenario, seed, Program.plain("random", wrong), dir, (part, what) -> { }).run();
        LedgerReader.Record record = LedgerReader.read(dir.resolve(Play.LEDGER));
        assertThat(record.cut()).isFalse();
        return Verdict.of(scenario, Planner.plan(scenario, seed), record);
    }

    @ParameterizedTest
    @EnumSource(value = Wrong.class, mode = EnumSource.Mode.EXCLUDE, names = "TRUSTS_SILENCE")
    void whatAWrongProxyDoesIsFound(Wrong wrong) throws Exception {
        assertThat(played(SCENARIO, wrong, 5).breaks()).extracting(Break::rule).contains(BREAKS.get(wrong));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void nothingIsFoundInARightProxy(long seed) throws Exception {
        assertThat(played(SCENARIO, null, seed).breaks()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(names = {"IGNORES_DRAINS", "REPEATS_LATE", "COPIES", "FLOODS_COLD", "DROPS"})
    void whatIsAMatterOfTimeIsFoundWhileTheLabIsHeldUp(Wrong wrong) throws Exception {
        assertThat(played(SCENARIO + HELD, wrong, 5).breaks()).extracting(Break::rule).contains(BREAKS.get(wrong));
    }

    @Test
    void nothingIsFoundInARightProxyWhileTheLabIsHeldUp() throws Exception {
        Verdict verdict = played(SCENARIO + HELD, null, 1);
        assertThat(verdict.breaks()).isEmpty();
        assertThat(verdict.lateness().heldUs()).isGreaterThanOrEqualTo(390_000);
    }

    @ParameterizedTest
    @ValueSource(strings = {SILENT_NAME, PUSHED_NAME})
    void whoNeverAsksAgainAfterASilenceIsFound(String mode) throws Exception {
        assertThat(played(silent(mode), Wrong.TRUSTS_SILENCE, 5).breaks()).extracting(Break::rule).contains(Rule.DRAIN);
    }

    @ParameterizedTest
    @ValueSource(strings = {SILENT_NAME, PUSHED_NAME})
    void nothingIsFoundInWhoOpensASilentWatchAnew(String mode) throws Exception {
        assertThat(played(silent(mode), null, 5).breaks()).isEmpty();
    }

    private static String silent(String mode) {
        return mode.equals(PUSHED_NAME) ? PUSHED : SILENT;
    }
}
