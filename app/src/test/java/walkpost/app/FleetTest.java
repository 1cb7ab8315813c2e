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

/**
 * Several processes of the program with faults between them. Faults begin by events and all limits are wide, so that the
 * verdict is the same on a machine kept busy.
 */
final class FleetTest {
    private static final String ROOM = """
            name = "fleet"
            about = "three proxies, six servers"
            length = "5s"
            [fleet]
            proxies = 3
            [[servers]]
            kind = "box"
            count = 6
            speed = 1
            slots = 20
            room = 50
            [[classes]]
            name = "tile-view"
            share = 0.8
            work = "5ms"
            waits = "5ms"
            aim = "3s"
            deadline = "8s"
            worth = 1
            effect = "safe"
            [[classes]]
            name = "repro-order"
            share = 0.2
            work = "5ms"
            waits = "5ms"
            aim = "3s"
            deadline = "8s"
            worth = 10
            effect = "keyed"
            window = "10s"
            [load]
            rate = 100
            [clients]
            patience = 1.0
            [rules]
            drain = "3s"
            """;

    @TempDir
    private Path dir;

    private LedgerReader.Record played(String fault) throws Exception {
        return played(fault, null);
    }

    private LedgerReader.Record played(String fault, Program other) throws Exception {
        Scenario scenario = ScenarioReader.parse(ROOM + fault);
        var program = new Program("this", Path.of("").toAbsolutePath(), List.of(ProcessHandle.current().info().command().orElseThrow(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                Main.class.getName(), "serve"));
        new Play(scenario, 11, program, other, dir, (part, what) -> { }).run();
        LedgerReader.Record record = LedgerReader.read(dir.resolve(Play.LEDGER));
        Verdict verdict = Verdict.of(scenario, Planner.plan(scenario, 11), record);
        assertThat(verdict.breaks()).isEmpty();
        assertThat(record.cut()).isFalse();
        assertThat(record.seen()).anyMatch(s -> s instanceof Seen.FaultIs);
        return record;
    }

    private static boolean lived(LedgerReader.Record record, int proxy, Seen.Life life) {
        return record.seen().stream().anyMatch(s -> s instanceof Seen.ProxyIs p && p.proxy() == proxy && p.life() == life);
    }

    @Test
    void aProxyIsKilledAndStartedAgain() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "kill"
                when = {proxy = 0, answered = 30}
                proxies = [0]
                back = "100ms"
                """);
        assertThat(lived(record, 0, Seen.Life.KILLED)).isTrue();
    }

    @Test
    void aProxyComesBackAsAnotherProgram() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "term"
                when = {proxy = 0, answered = 30}
                proxies = [0]
                back = "0ms"
                other = true
                """, Program.plain("least-outstanding", null));
        assertThat(record.seen()).filteredOn(s -> s instanceof Seen.ProxyIs p && p.proxy() == 0 && p.life() == Seen.Life.STARTED)
                .extracting(s -> ((Seen.ProxyIs) s).detail().replaceAll(",.*", "")).containsExactly("this", "plain:least-outstanding");
    }

    @Test
    void aProxyStandsStillAndGoesOn() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "stop"
                when = {proxy = 1, answered = 30}
                length = "1s"
                proxies = [1]
                """);
        assertThat(lived(record, 1, Seen.Life.STOPPED)).isTrue();
    }

    @Test
    void aProxyIsCutOffFromServersAndDiscoveryAndAnswersAllTheSame() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "isolate"
                when = {proxy = 0, answered = 30}
                length = "1s"
                proxies = [0]
                from = ["servers", "discovery"]
                """);
        assertThat(record.seen()).anyMatch(s -> s instanceof Seen.FaultIs f && f.act().equals("ISOLATE"));
    }

    @Test
    void aProxyIsCutOffFromItsClients() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "isolate"
                when = {proxy = 1, answered = 30}
                length = "4s"
                proxies = [1]
                from = ["clients"]
                """);
        assertThat(lived(record, 1, Seen.Life.DROPPED)).isTrue();
    }

    @Test
    void aThirdOfTheServersIsCutOff() throws Exception {
        LedgerReader.Record record = played("""
                [[faults]]
                act = "cut"
                when = {proxy = 2, answered = 30}
                length = "1s"
                servers = [0, 3]
                """);
        assertThat(record.seen()).anyMatch(s -> s instanceof Seen.FaultIs f && f.act().equals("CUT") && f.whom().equals(List.of(0, 3)));
    }
}
