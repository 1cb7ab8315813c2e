package walkpost.lab.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.ledger.Seen.Life;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Planner;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.Break.Rule;

/** What proxies show and hollow members say, made up by hand: an order that is late is found, and what explains it is heard. */
final class InForceRulesTest {
    private static final long S = 1_000_000;
    private static final long MS = 1_000;
    /** The play's zero in Unix time, in milliseconds. */
    private static final long ZERO_MS = 1_700_000_000_000L;

    private final List<Seen> seen = new ArrayList<>();
    private Scenario scenario;
    private Plan plan;
    private String server;
    private long calls;

    @BeforeEach
    void play() throws Exception {
        scenario = ScenarioReader.parse("""
                name = "hand"
                about = "a ledger made up by hand"
                length = "60s"
                [fleet]
                proxies = 2
                members = true
                voters = 3
                in_force = "12s"
                converge = "30s"
                [fleet.hollow]
                members = 6
                processes = 2
                [[servers]]
                kind = "box"
                count = 2
                speed = 1
                [[classes]]
                name = "tile-view"
                share = 1
                work = "10ms"
                waits = "0ms"
                aim = "200ms"
                deadline = "1s"
                worth = 1
                effect = "safe"
                [load]
                rate = 0.1
                """);
        plan = Planner.plan(scenario, 1);
        server = plan.servers().get(0).id();
        seen.add(new Seen.Begun(0, "hand", 1, ZERO_MS, "hand"));
        for (int proxy = 0; proxy < 2; proxy++) {
            seen.add(new Seen.ProxyIs(-5 * S, proxy, Life.STARTED, ""));
            seen.add(new Seen.ProxyIs(-3 * S, proxy, Life.ADMITTED, ""));
        }
        for (String process : List.of("h0", "h1")) {
            side(-5 * S, process, Life.STARTED);
            ready(-4 * S, process);
        }
    }

    private void side(long t, String process, Life life) {
        seen.add(new Seen.SideIs(t, process, life, life == Life.ENDED ? "status 1, by itself: out of memory" : ""));
    }

    private void ready(long t, String process) {
        said(t, process, "ready", "\"members\":3");
    }

    private void said(long t, String process, String kind, String rest) {
        seen.add(new Seen.Said(t, process, "{\"hollow\":\"" + kind + "\",\"t_ms\":" + (ZERO_MS + t / MS) + "," + rest + "}"));
    }

    private void inForce(String process, long... at) {
        said(at[at.length - 1] + S, process, "in_force", "\"order\":\"o1\",\"at_ms\":["
                + LongStream.of(at).mapToObj(t -> Long.toString(ZERO_MS + t / MS)).collect(Collectors.joining(",")) + "]");
    }

    private void door(long t, int proxy, String line, String answer) {
        seen.add(new Seen.DoorCalled(t, calls, proxy, line));
        seen.add(new Seen.DoorAnswered(t + 20 * MS, calls++, proxy, true, answer));
    }

    private void exclude(long t, String answer) {
        door(t, 0, "exclude " + server + " fleet o1 -", answer);
    }

    private void acknowledged(long t) {
        exclude(t, "SUCCESS s is taken out on the fleet, order=o1 version=1");
    }

    private void shows(long t, int proxy, boolean level, boolean order) {
        door(t, proxy, "orders", "SUCCESS {\"level\":" + level + ",\"orders\":[" + (order ? "{\"topic\":\"exclusion\",\"subject\":\""
                + server + "\",\"payload\":{\"out\":true},\"id\":\"o1\",\"version\":1,\"rivals\":[]}" : "") + "]}");
    }

    private Verdict verdict() {
        seen.removeIf(s -> s instanceof Seen.Finished);
        seen.add(new Seen.Finished(70 * S, true, 100, 100, 100, 100));
        return Verdict.of(scenario, plan, LedgerReader.Record.of(seen));
    }

    private List<Rule> broken() {
        return verdict().breaks().stream().map(Break::rule).toList();
    }

    private void allInForce() {
        inForce("h0", 11 * S, 12 * S, 13 * S);
        inForce("h1", 11 * S, 12 * S, 21 * S);
    }

    @Test
    void anOrderInForceEverywhereInTimeIsKept() {
        acknowledged(10 * S);
        allInForce();
        shows(23 * S, 0, true, true);
        shows(23 * S, 1, true, true);
        assertThat(broken()).isEmpty();
    }

    @Test
    void oneHollowMemberThatHasItLaterIsFound() {
        acknowledged(10 * S);
        inForce("h0", 11 * S, 12 * S, 13 * S);
        inForce("h1", 11 * S, 12 * S, 23 * S);
        assertThat(broken()).containsExactly(Rule.ORDER_LATE);
    }

    @Test
    void aProxyThatDoesNotShowItInTimeIsFound() {
        acknowledged(10 * S);
        allInForce();
        shows(21 * S, 1, true, false);
        assertThat(broken()).isEmpty();
        shows(23 * S, 1, false, true);
        assertThat(broken()).containsExactly(Rule.ORDER_LATE);
    }

    @Test
    void anOrderThatNobodyAcknowledgedIsFound() {
        exclude(10 * S, "FAILURE NoMajority: in force nowhere");
        assertThat(broken()).containsExactly(Rule.ORDER_LATE);
    }

    @Test
    void whoWasKilledIsHeldToItFromWhenTheyAreBack() {
        acknowledged(10 * S);
        inForce("h0", 11 * S, 12 * S, 13 * S);
        side(11 * S, "h1", Life.KILLED);
        side(20 * S, "h1", Life.STARTED);
        ready(22 * S, "h1");
        inForce("h1", 23 * S, 24 * S, 33 * S);
        assertThat(broken()).isEmpty();
        assertThat(verdict().fleet().backMs()).isEqualTo(11_000);
        seen.removeIf(s -> s instanceof Seen.Said said && said.t() == 34 * S);
        assertThat(broken()).containsExactly(Rule.ORDER_LATE);
    }

    @Test
    void whoStoodStillIsHeldToItFromWhenTheyWentOn() {
        acknowledged(10 * S);
        inForce("h0", 11 * S, 12 * S, 13 * S);
        side(9 * S, "h1", Life.STOPPED);
        side(30 * S, "h1", Life.CONTINUED);
        inForce("h1", 31 * S, 31 * S, 41 * S);
        assertThat(broken()).isEmpty();
        seen.removeIf(s -> s instanceof Seen.Said said && said.t() == 42 * S);
        inForce("h1", 31 * S, 31 * S, 43 * S);
        assertThat(broken()).containsExactly(Rule.ORDER_LATE);
    }

    @Test
    void aProcessBesideTheProxiesThatEndsByItselfIsFound() {
        side(10 * S, "v1", Life.STARTED);
        side(11 * S, "v1", Life.ENDED);
        assertThat(broken()).containsExactly(Rule.PROCESS);
    }

    @Test
    void figuresAreOfThoseInReachAndCountFromTheFirstCall() {
        acknowledged(10 * S);
        allInForce();
        for (int i = 1; i <= 6; i++) {
            said(i * 2 * S, "h0", "figures", "\"level\":3,\"seconds\":2.0,\"bytes_out_s\":" + (i == 3 ? 1_000 : 100)
                    + ",\"bytes_in_s\":100,\"worst_bytes_s\":900,\"messages_out_s\":2,\"messages_in_s\":3,\"cpu_ms_s\":1.5,\"heap_mb\":9");
        }
        FleetFigures fleet = verdict().fleet();
        assertThat(fleet.all().of()).isEqualTo(6);
        assertThat(fleet.all().held()).isEqualTo(6);
        assertThat(fleet.all().p50Ms()).isEqualTo(2_000);
        assertThat(fleet.all().mostMs()).isEqualTo(11_000);
        assertThat(fleet.bytesPerS()).isEqualTo(350);
        assertThat(fleet.worstBytesPerS()).isEqualTo(380);
        assertThat(fleet.worstMemberBytesPerS()).isEqualTo(900);
        assertThat(fleet.messagesPerS()).isEqualTo(5);
        assertThat(fleet.cpuMsPerS()).isEqualTo(1.5);
    }
}
