package walkpost.lab.verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
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

/** Ledgers made up by hand: what crosses, what a fault explains, and what was cut off. Planted faults are in real processes. */
final class VerdictTest {
    private static final long MS = 1_000;
    private static final long BODY = 77;
    private static final String HAND = """
            name = "hand"
            about = "a ledger made up by hand"
            length = "4s"
            [fleet]
            proxies = 2
            [[servers]]
            kind = "box"
            count = 2
            speed = 1
            cold_from = 0.2
            cold = "10s"
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
            rate = 5
            [clients]
            retries = 0
            patience = 1.0
            [rules]
            cold_from = 0.2
            cold = "10s"
            [[faults]]
            act = "isolate"
            at = "3s"
            length = "1s"
            proxies = [0]
            from = ["servers", "discovery"]
            [[faults]]
            act = "isolate"
            at = "3s"
            length = "1s"
            proxies = [0]
            from = ["clients"]
            """;

    private final List<Seen> seen = new ArrayList<>();
    private Scenario scenario;
    private Plan plan;
    private String id;
    private String server;

    @BeforeEach
    void play() throws Exception {
        scenario = ScenarioReader.parse(HAND);
        plan = Planner.plan(scenario, 1);
        id = plan.arrivals().get(0).tries().get(0).id();
        server = plan.servers().get(0).id();
    }

    private void asked(long t, boolean fresh) {
        seen.add(new Seen.Asked(t, 0, 0, id, t, 0, 1, fresh, 10 * MS, 1_000 * MS, 5, 0));
    }

    private void arrived(long t, long attempt, String at) {
        seen.add(new Seen.Arrived(t, t, attempt, id, 0, at, 9, 5));
    }

    private void served(long t, long attempt, long body) {
        seen.add(new Seen.Replied(t, attempt, id, server, Seen.End.SERVED, body));
    }

    private void answered(long t, int status, long body) {
        seen.add(new Seen.Answered(t, id, 0, status, body, -1));
    }

    private void proxy(long t, Life life) {
        seen.add(new Seen.ProxyIs(t, 0, life, ""));
    }

    private Verdict verdict(boolean finished) {
        if (finished) {
            seen.add(new Seen.Finished(6_000 * MS, true, 100, 100, 100, 100));
        }
        return Verdict.of(scenario, plan, LedgerReader.Record.of(seen));
    }

    private List<Rule> broken() {
        return verdict(true).breaks().stream().map(Break::rule).toList();
    }

    @Test
    void anAnswerThatCrossesTheClientsLeavingIsOneAnswer() {
        asked(0, true);
        arrived(5 * MS, 1, server);
        served(990 * MS, 1, BODY);
        seen.add(new Seen.Left(1_000 * MS, id, 0));
        answered(1_001 * MS, 200, BODY);
        assertThat(broken()).isEmpty();
    }

    @Test
    void aProxyKilledBetweenTheServersAnswerAndTheClientsHasLostNothing() {
        asked(0, false);
        arrived(5 * MS, 1, server);
        served(20 * MS, 1, BODY);
        proxy(21 * MS, Life.KILLED);
        seen.add(new Seen.Closed(22 * MS, id, 0, false, false));
        proxy(22 * MS, Life.ENDED);
        assertThat(broken()).isEmpty();
    }

    @Test
    void aLivingProxyThatHangsUpOnARequestItHasSentOnHasLostIt() {
        asked(0, false);
        arrived(5 * MS, 1, server);
        served(20 * MS, 1, BODY);
        seen.add(new Seen.Closed(22 * MS, id, 0, false, false));
        assertThat(broken()).containsExactly(Rule.ANSWER);
    }

    @Test
    void aCloseThatCrossesARequestNobodyHasReadIsNoLoss() {
        asked(0, false);
        seen.add(new Seen.Closed(1 * MS, id, 0, false, false));
        asked(2 * MS, true);
        arrived(5 * MS, 1, server);
        served(20 * MS, 1, BODY);
        answered(21 * MS, 200, BODY);
        assertThat(broken()).isEmpty();
    }

    @Test
    void noAnswerIsOwedWhileTheProxyStandsStillButIsOnceItGoesOn() {
        proxy(-500 * MS, Life.STOPPED);
        proxy(500 * MS, Life.CONTINUED);
        asked(100 * MS, true);
        seen.add(new Seen.Missed(1_600 * MS, id, 0));
        assertThat(broken()).isEmpty();
        seen.clear();
        proxy(-500 * MS, Life.STOPPED);
        proxy(50 * MS, Life.CONTINUED);
        asked(100 * MS, true);
        seen.add(new Seen.Missed(1_600 * MS, id, 0));
        assertThat(broken()).containsExactly(Rule.ANSWER);
    }

    @Test
    void aDrainBindsOnceToldAndItsTimeIsUp() {
        seen.add(new Seen.Told(0, 0, 42, false, List.of(new Seen.Line(server, "draining", 0))));
        asked(300 * MS, true);
        arrived(349 * MS, 1, server);
        served(360 * MS, 1, BODY);
        answered(361 * MS, 200, BODY);
        assertThat(broken()).isEmpty();
        seen.removeIf(s -> s instanceof Seen.Arrived || s instanceof Seen.Finished);
        arrived(351 * MS, 1, server);
        assertThat(broken()).containsExactly(Rule.DRAIN);
    }

    @Test
    void whoeverDoesNotAskDiscoveryIsDeemedTold() {
        seen.add(new Seen.Listed(0, 42, server, "gone"));
        asked(10_300 * MS, true);
        arrived(10_400 * MS, 1, server);
        served(10_410 * MS, 1, BODY);
        answered(10_411 * MS, 200, BODY);
        assertThat(broken()).containsExactly(Rule.DRAIN);
        seen.add(new Seen.Called(5_000 * MS, 0, 1, false, false));
        assertThat(broken()).isEmpty();
    }

    @Test
    void aColdServerIsPushedOverOnlyByThoseWhoWereToldOfItsStart() {
        seen.add(new Seen.ServerIs(0, server, Seen.State.COLD));
        // At the start it does a fifth of a core; three times that for a second is 0.6 s of work.
        for (int proxy = 0; proxy < 2; proxy++) {
            seen.add(new Seen.Pressed(100 * MS, proxy, server, 400 * MS));
        }
        assertThat(broken()).isEmpty();
        seen.add(new Seen.Told(50 * MS, 0, 42, false, List.of(new Seen.Line(server, "ready", 1))));
        assertThat(broken()).isEmpty();
        seen.add(new Seen.Told(60 * MS, 1, 42, false, List.of(new Seen.Line(server, "ready", 1))));
        assertThat(broken()).containsExactly(Rule.COLD);
    }

    private void isolated(int fault) {
        seen.add(new Seen.FaultIs(0, fault, "ISOLATE", false, List.of(0)));
        asked(10 * MS, true);
        seen.add(new Seen.Left(1_010 * MS, id, 0));
        seen.add(new Seen.Missed(1_510 * MS, id, 0));
        seen.add(new Seen.FaultIs(2_000 * MS, fault, "ISOLATE", true, List.of(0)));
    }

    @Test
    void aProxyCutOffFromServersAndDiscoveryStillOwesAnAnswer() {
        isolated(0);
        assertThat(broken()).containsExactly(Rule.ANSWER);
    }

    @Test
    void aProxyCutOffFromItsClientsOwesThemNone() {
        isolated(1);
        assertThat(broken()).isEmpty();
    }

    @Test
    void aProxyCutOffFromDiscoveryCannotBeDeemedTold() {
        seen.add(new Seen.Called(0, 0, 1, false, false));
        seen.add(new Seen.Called(MS, 0, 1, true, false));
        seen.add(new Seen.Listed(2 * MS, 42, server, "draining"));
        asked(12_000 * MS, true);
        arrived(12_005 * MS, 1, server);
        served(12_020 * MS, 1, BODY);
        answered(12_021 * MS, 200, BODY);
        assertThat(broken()).containsExactly(Rule.DRAIN);
        seen.add(0, new Seen.FaultIs(0, 0, "ISOLATE", false, List.of(0)));
        assertThat(broken()).isEmpty();
    }

    @Test
    void aLedgerCutOffIsJudgedUpToTheCutAndSaysSo() {
        asked(0, true);
        arrived(5 * MS, 1, server);
        served(20 * MS, 1, BODY);
        answered(21 * MS, 200, BODY + 1);
        Verdict verdict = verdict(false);
        assertThat(verdict.cut()).isTrue();
        assertThat(verdict.breaks()).extracting(Break::rule).containsExactly(Rule.BODY);
        assertThat(verdict.line()).startsWith("verdict: broken (cut off)");
    }

    private void held(long from, long to, Seen.Part part) {
        seen.add(new Seen.Held(to, from, part, 0, 1));
    }

    @Test
    void aHoldUpOfTheServersLoopExcusesADrainItMayHaveMadeLateAndIsCounted() {
        seen.add(new Seen.Told(0, 0, 42, false, List.of(new Seen.Line(server, "draining", 0))));
        asked(300 * MS, true);
        arrived(400 * MS, 1, server);
        served(410 * MS, 1, BODY);
        answered(411 * MS, 200, BODY);
        held(345 * MS, 400 * MS, Seen.Part.SERVERS);
        Verdict verdict = verdict(true);
        assertThat(verdict.breaks()).isEmpty();
        assertThat(verdict.excused()).isEqualTo(1);
    }

    @Test
    void aHoldUpExcusesNoMoreThanItMeasuredAndNothingSeenLongAfterIt() {
        seen.add(new Seen.Told(0, 0, 42, false, List.of(new Seen.Line(server, "draining", 0))));
        asked(300 * MS, true);
        arrived(400 * MS, 1, server);
        served(410 * MS, 1, BODY);
        answered(411 * MS, 200, BODY);
        held(360 * MS, 400 * MS, Seen.Part.SERVERS);
        assertThat(broken()).containsExactly(Rule.DRAIN);
        seen.removeIf(s -> s instanceof Seen.Held || s instanceof Seen.Finished);
        held(50 * MS, 200 * MS, Seen.Part.SERVERS);
        assertThat(broken()).containsExactly(Rule.DRAIN);
        seen.removeIf(s -> s instanceof Seen.Held || s instanceof Seen.Finished);
        held(300 * MS, 400 * MS, Seen.Part.CLIENTS);
        assertThat(broken()).containsExactly(Rule.DRAIN);
    }

    @Test
    void aHoldUpExcusesNoBodyThatNobodyMade() {
        asked(0, true);
        arrived(5 * MS, 1, server);
        served(20 * MS, 1, BODY);
        answered(21 * MS, 200, BODY + 1);
        held(0, 20 * MS, Seen.Part.SERVERS);
        held(0, 21 * MS, Seen.Part.CLIENTS);
        assertThat(broken()).containsExactly(Rule.BODY);
    }

    @Test
    void anAnswerAfterItsTimeIsExcusedOnlyAsFarAsItsClientWasHeldUp() {
        asked(0, true);
        arrived(5 * MS, 1, server);
        served(1_450 * MS, 1, BODY);
        seen.add(new Seen.Left(1_000 * MS, id, 0));
        answered(1_700 * MS, 200, BODY);
        assertThat(broken()).containsExactly(Rule.ANSWER);
        seen.removeIf(s -> s instanceof Seen.Finished);
        held(1_540 * MS, 1_700 * MS, Seen.Part.CLIENTS);
        assertThat(broken()).isEmpty();
    }

    @Test
    void workThatAHeldUpServerSeesAtOnceCameInOverALongerTime() {
        seen.add(new Seen.ServerIs(0, server, Seen.State.COLD));
        seen.add(new Seen.Told(50 * MS, 0, 42, false, List.of(new Seen.Line(server, "ready", 1))));
        seen.add(new Seen.Pressed(500 * MS, 0, server, 600 * MS));
        // By now it bears 1.03 s of work in a second.
        seen.add(new Seen.Pressed(1_400 * MS, 0, server, 600 * MS));
        held(600 * MS, 1_200 * MS, Seen.Part.SERVERS);
        assertThat(broken()).containsExactly(Rule.COLD);
        seen.removeIf(s -> s instanceof Seen.Held || s instanceof Seen.Finished);
        // What is seen at the beginning of the second may have come 0.3 s before it.
        held(100 * MS, 500 * MS, Seen.Part.SERVERS);
        Verdict verdict = verdict(true);
        assertThat(verdict.breaks()).isEmpty();
        assertThat(verdict.excused()).isEqualTo(1);
    }

    /** Each request is answered after so long, and was sent so late by the lab. */
    private Verdict served(long latency, long late, double leastServed) throws Exception {
        plan.arrivals().forEach(a -> {
            String each = a.tries().get(0).id();
            int number = plan.arrivals().indexOf(a);
            seen.add(new Seen.Asked(a.dueUs() + late, number, 0, each, a.dueUs(), 0, 1, true, 10 * MS, 1_000 * MS, 5, late));
            seen.add(new Seen.Arrived(a.dueUs() + late, a.dueUs() + late, number, each, 0, server, 9, 5));
            seen.add(new Seen.Replied(a.dueUs() + latency, number, each, server, Seen.End.SERVED, BODY));
            seen.add(new Seen.Answered(a.dueUs() + latency, each, 0, 200, BODY, -1));
        });
        seen.add(new Seen.Finished(6_000 * MS, true, late, 100, 100, 100));
        Scenario expecting = ScenarioReader.parse(HAND + "[expect]\nserved = " + leastServed + "\n");
        return Verdict.of(expecting, plan, LedgerReader.Record.of(seen));
    }

    @Test
    void anExpectationIsNotJudgedWhereLatenessMayHaveDecidedIt() throws Exception {
        Verdict verdict = served(205 * MS, 10 * MS, 0.9);
        assertThat(verdict.word()).isEqualTo(Verdict.Word.LATE);
        assertThat(verdict.unjudged()).singleElement().asString().startsWith("served is 0.000");
        assertThat(verdict.lateness().sentLate()).isEqualTo(1);
        assertThat(verdict.rooms().get("served")).isEqualTo(new Room(0, 0, 1));
    }

    @Test
    void anExpectationIsJudgedWhereLatenessCanHaveChangedNothing() throws Exception {
        assertThat(served(215 * MS, 10 * MS, 0.9).word()).isEqualTo(Verdict.Word.BROKEN);
        seen.clear();
        assertThat(served(150 * MS, 10 * MS, 0.9).word()).isEqualTo(Verdict.Word.KEPT);
        seen.clear();
        // A hundredth of the aim is none: 2 ms of 200.
        assertThat(served(201 * MS, 2 * MS, 0.9).word()).isEqualTo(Verdict.Word.BROKEN);
    }

    @Test
    void onlyTheExpectationThatIsInDoubtIsLeftOutAndRulesAreJudgedInAnyPlay() throws Exception {
        seen.add(new Seen.Extra(9, 0, 1, 200));
        Verdict verdict = served(205 * MS, 10 * MS, 0.9);
        assertThat(verdict.word()).isEqualTo(Verdict.Word.BROKEN);
        assertThat(verdict.breaks()).extracting(Break::rule).containsExactly(Rule.ANSWER);
        assertThat(verdict.unjudged()).hasSize(1);
    }

    @Test
    void aHoldUpCountsAsLatenessOfWhatWasOpenWhileItLastedOrWasWorkedOff() throws Exception {
        held(-30 * MS, -10 * MS, Seen.Part.SERVERS);
        plan.arrivals().forEach(a -> held(a.dueUs() + 100 * MS, a.dueUs() + 120 * MS, Seen.Part.SERVERS));
        assertThat(served(190 * MS, 0, 0.9).word()).isEqualTo(Verdict.Word.LATE);
        assertThat(new Holdups(seen).sway(5 * MS, 50 * MS, new Holdups(seen).servers())).isEqualTo(20 * MS);
        assertThat(new Holdups(seen).sway(15 * MS, 50 * MS, new Holdups(seen).servers())).isZero();
    }

    @Test
    void playsAreLikeWhereShareSentLateAndTheMachinesOwnLatenessAre() {
        var quiet = new Lateness(0.01, 100, 400, 2_000);
        assertThat(quiet.like(new Lateness(0.05, 900, 1_300, 9_000))).isTrue();
        assertThat(quiet.like(new Lateness(0.07, 100, 400, 2_000))).isFalse();
        assertThat(quiet.like(new Lateness(0.01, 100, 1_500, 2_000))).isFalse();
        assertThat(new Lateness(0.01, 0, 4_000, 0).like(new Lateness(0.01, 0, 8_000, 0))).isTrue();
    }

    private void waitsOn(long call, long t, long waitEnds) {
        seen.add(new Seen.Called(t, 0, call, false, false));
        seen.add(new Seen.Silent(t + MS, 0, call, waitEnds));
    }

    @Test
    void whoSitsOnASilentWatchIsHeldToWhatItMissesOnceItsTimeIsUp() {
        waitsOn(1, 0, 20 * MS);
        seen.add(new Seen.Listed(100 * MS, 42, server, "draining"));
        asked(6_300 * MS, true);
        arrived(6_340 * MS, 1, server);
        served(6_360 * MS, 1, BODY);
        answered(6_361 * MS, 200, BODY);
        assertThat(broken()).isEmpty();
        seen.removeIf(s -> s instanceof Seen.Arrived || s instanceof Seen.Finished);
        arrived(6_355 * MS, 1, server);
        assertThat(broken()).containsExactly(Rule.DRAIN);
    }

    @Test
    void whatIsServedWithinItsAimIsTheWholeWorthAndWhatIsLateIsNone() {
        plan.arrivals().forEach(a -> {
            String each = a.tries().get(0).id();
            int number = plan.arrivals().indexOf(a);
            long latency = number % 2 == 0 ? 100 * MS : 300 * MS;
            seen.add(new Seen.Asked(a.dueUs(), number, 0, each, a.dueUs(), 0, 1, true, 10 * MS, 1_000 * MS, 5, 0));
            seen.add(new Seen.Arrived(a.dueUs() + MS, a.dueUs() + MS, number, each, 0, server, 9, 5));
            seen.add(new Seen.Replied(a.dueUs() + latency, number, each, server, Seen.End.SERVED, BODY));
            seen.add(new Seen.Answered(a.dueUs() + latency, each, 0, 200, BODY, -1));
        });
        Figures figures = verdict(true).figures();
        double half = (plan.arrivals().size() + 1) / 2 / (double) plan.arrivals().size();
        assertThat(figures.served()).isCloseTo(half, within(1e-9));
        assertThat(figures.whole()).isCloseTo(half, within(1e-9));
        assertThat(figures.late()).isCloseTo(1 - half, within(1e-9));
        assertThat(figures.prices().get("late_fail")).isCloseTo(0.076 * (1 - half), within(1e-9));
    }
}
