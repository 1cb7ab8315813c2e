package walkpost.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.play.Play;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.Planner;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.Verdict;

/** Three processes of the program that are members of each other: one order, one of them killed, one cut off, all healed. */
final class MembersTest {
    /** What has to settle is given many times what it takes, and an order is given again until it stands. */
    private static final String SCENARIO = """
            name = "members"
            about = "three members"
            length = "20s"
            [fleet]
            proxies = 3
            members = true
            converge = "10s"
            notice = "10s"
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
            rate = 60
            [clients]
            patience = 1.0
            [rules]
            drain = "3s"
            [[calls]]
            at = "500ms"
            proxy = 0
            line = "exclude s-1 fleet o-1"
            again = "200ms"
            [[faults]]
            act = "kill"
            when = {proxy = 0, answered = 30}
            proxies = [1]
            back = "100ms"
            [[faults]]
            act = "part"
            at = "5s"
            length = "3s"
            groups = [[0, 1], [2]]
            """;

    @TempDir
    private Path dir;

    @Test
    void anOrderHoldsWhileOneIsKilledAndAnotherCutOff() throws Exception {
        Scenario scenario = ScenarioReader.parse(SCENARIO);
        var program = new Program("this", Path.of("").toAbsolutePath(), List.of(ProcessHandle.current().info().command().orElseThrow(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                Main.class.getName(), "serve"));
        new Play(scenario, 11, program, dir, (part, what) -> { }).run();
        LedgerReader.Record record = LedgerReader.read(dir.resolve(Play.LEDGER));
        assertThat(Verdict.of(scenario, Planner.plan(scenario, 11), record).breaks()).isEmpty();
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.DoorAnswered a && a.line().contains("order=o-1 version="))
                .as("the order was acknowledged").isNotEmpty();
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.FaultIs f && f.act().equals("PART")).hasSize(2);
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.ProxyIs p && p.proxy() == 1 && p.life() == Seen.Life.STARTED)
                .hasSize(2);
    }
}
