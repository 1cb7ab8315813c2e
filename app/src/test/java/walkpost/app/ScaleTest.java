package walkpost.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.play.Play;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.Planner;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.FleetFigures;
import walkpost.lab.verdict.Verdict;

/**
 * What {@code lab/scenarios/scale.toml} plays, small: three voters, two proxies and twelve hollow members; a voter and half of the hollow
 * ones are killed. Limits are wide, so that the verdict is the same on a machine kept busy.
 */
@Timeout(300)
final class ScaleTest {
    private static final String SCENARIO = """
            name = "scale-small"
            about = "three voters, two proxies, twelve hollow members"
            length = "34s"
            [fleet]
            proxies = 2
            members = true
            voters = 3
            converge = "24s"
            notice = "24s"
            in_force = "24s"
            [fleet.hollow]
            members = 12
            processes = 2
            heap = "64MiB"
            [[servers]]
            kind = "box"
            count = 4
            speed = 1
            slots = 20
            room = 50
            [[classes]]
            name = "tile-view"
            share = 1
            work = "5ms"
            waits = "5ms"
            aim = "3s"
            deadline = "8s"
            worth = 1
            effect = "safe"
            [load]
            rate = 30
            [clients]
            patience = 1.0
            [rules]
            drain = "3s"
            [[faults]]
            act = "kill"
            at = "1s"
            voters = [0]
            back = "1s"
            [[faults]]
            act = "kill"
            at = "1500ms"
            hollow = [1]
            back = "1s"
            [[calls]]
            at = "2s"
            proxy = 1
            line = "exclude s-1 fleet o-1 -"
            again = "200ms"
            """;

    @TempDir
    private Path dir;

    @Test
    void anOrderIsInForceAtAllWhileAVoterAndHollowMembersAreKilled() throws Exception {
        Scenario scenario = ScenarioReader.parse(SCENARIO);
        var program = new Program("this", Path.of("").toAbsolutePath(), List.of(ProcessHandle.current().info().command().orElseThrow(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                Main.class.getName(), "serve"));
        new Play(scenario, 11, program, dir, (part, what) -> { }).run();
        LedgerReader.Record record = LedgerReader.read(dir.resolve(Play.LEDGER));
        Verdict verdict = Verdict.of(scenario, Planner.plan(scenario, 11), record);
        assertThat(verdict.breaks()).isEmpty();
        assertThat(record.cut()).isFalse();
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.SideIs p && p.life() == Seen.Life.STARTED).hasSize(7);
        FleetFigures fleet = verdict.fleet();
        assertThat(fleet.hollow()).isEqualTo(12);
        assertThat(fleet.all().of()).as("those in reach all the while").isEqualTo(6);
        assertThat(fleet.all().held()).isEqualTo(6);
        assertThat(fleet.backMs()).as("those killed have the order again").isPositive();
        assertThat(fleet.bytesPerS()).isPositive();
        assertThat(fleet.cpuMsPerS()).isPositive();
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.SideIs p && p.life() == Seen.Life.STARTED)
                .extracting(s -> Long.parseLong(((Seen.SideIs) s).detail().replaceAll(".*pid ", "")))
                .allMatch(pid -> ProcessHandle.of(pid).filter(ProcessHandle::isAlive).isEmpty());
    }
}
