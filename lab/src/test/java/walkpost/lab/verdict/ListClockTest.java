package walkpost.lab.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import walkpost.lab.verdict.ListClock.How;
import walkpost.lab.verdict.ListClock.Told;

/** Each sentence of STANDING, "The whole fleet", on when a change of the list counts as told. Times are in seconds here. */
final class ListClockTest {
    private static final long S = 1_000_000;
    private static final long ASK = 10 * S;

    private final ListClock asked = new ListClock(false, ASK);
    private final ListClock pushed = new ListClock(true, ASK);

    private static void goes(ListClock clock, long t) {
        clock.listed(t, "s", false);
    }

    private static void assertTold(ListClock clock, How how, long atUs) {
        assertThat(clock.told("s")).isEqualTo(new Told(atUs, how));
    }

    private static void assertNotTold(ListClock clock) {
        assertThat(clock.told("s").how()).isEqualTo(How.NOT_TOLD);
    }

    @Test
    void whereListsArePushedWhatTheAgentHasCountsAsToldWhetherOrNotAWatchIsOpen() {
        goes(pushed, 3 * S);
        assertTold(pushed, How.PUSHED, 3 * S);
        pushed.called(4 * S, 1);
        pushed.listed(5 * S, "s", true);
        goes(pushed, 6 * S);
        assertTold(pushed, How.PUSHED, 6 * S);
    }

    @Test
    void whatTheAgentHasCountsFromTheFirstMomentOfANewProcess() {
        goes(pushed, 3 * S);
        pushed.started(20 * S);
        assertTold(pushed, How.PUSHED, 3 * S);
    }

    @Test
    void afterSighupWhatTheAgentHasCountsFourSecondsLater() {
        pushed.hungUp(10 * S);
        goes(pushed, 11 * S);
        assertTold(pushed, How.PUSHED, 14 * S);
        pushed.listed(12 * S, "s", true);
        goes(pushed, 15 * S);
        assertTold(pushed, How.PUSHED, 15 * S);
    }

    @Test
    void whatWasToldBeforeSighupStaysTold() {
        goes(pushed, 9 * S);
        pushed.hungUp(10 * S);
        assertTold(pushed, How.PUSHED, 9 * S);
    }

    @Test
    void whatASilentWatchMissesCountsSixSecondsAfterItFellSilentPushedOrAsked() {
        for (ListClock clock : new ListClock[] {asked, pushed}) {
            clock.called(0, 1);
            clock.fellSilent(2 * S, 1, 3 * S);
            goes(clock, 5 * S);
            assertTold(clock, How.SILENCE, 8 * S);
        }
    }

    @Test
    void ofACallThatWaitsItCountsTwoSecondsAfterItsWaitIfThatIsLater() {
        for (ListClock clock : new ListClock[] {asked, pushed}) {
            clock.called(0, 1);
            clock.fellSilent(2 * S, 1, 20 * S);
            goes(clock, 5 * S);
            assertTold(clock, How.SILENCE, 22 * S);
        }
    }

    @Test
    void whatWasMissedCountsEvenIfTheProxyHangsUpAndNeverAsksAgain() {
        asked.called(0, 1);
        asked.fellSilent(2 * S, 1, 3 * S);
        goes(asked, 5 * S);
        asked.ended(6 * S, 1, true);
        assertTold(asked, How.SILENCE, 8 * S);
    }

    @Test
    void aSilentWatchIsNoWatchAnyMoreOnceItsTimeIsUp() {
        asked.called(0, 1);
        asked.fellSilent(2 * S, 1, 3 * S);
        goes(asked, 9 * S);
        assertTold(asked, How.NOT_ASKED, 19 * S);
        pushed.called(0, 1);
        pushed.fellSilent(2 * S, 1, 3 * S);
        goes(pushed, 9 * S);
        assertTold(pushed, How.PUSHED, 9 * S);
    }

    @Test
    void aWatchOpenedAnewHearsWhatTheSilentOneWouldMiss() {
        asked.called(0, 1);
        asked.fellSilent(2 * S, 1, 20 * S);
        asked.called(4 * S, 2);
        goes(asked, 5 * S);
        assertNotTold(asked);
        asked.wrote(5 * S + 1, "s", false);
        assertTold(asked, How.WRITTEN, 5 * S + 1);
    }

    @Test
    void whatComesOnAWatchCountsWhenItIsWritten() {
        asked.called(0, 1);
        goes(asked, 3 * S);
        assertNotTold(asked);
        asked.wrote(4 * S, "s", false);
        assertTold(asked, How.WRITTEN, 4 * S);
        asked.wrote(6 * S, "s", true);
        asked.listed(6 * S, "s", true);
        assertNotTold(asked);
    }

    @Test
    void withoutAWatchTheListHoldsForTheTimeForAskingFromTheLastCall() {
        asked.called(0, 1);
        asked.ended(2 * S, 1, false);
        goes(asked, S);
        assertTold(asked, How.NOT_ASKED, 2 * S + ASK);
    }

    @Test
    void fourTimesAsLongIfThatCallFailed() {
        asked.called(0, 1);
        asked.ended(2 * S, 1, true);
        goes(asked, S);
        assertTold(asked, How.NOT_ASKED, 2 * S + 4 * ASK);
    }

    @Test
    void countedAnewOnceDiscoveryIsBack() {
        asked.cutOff(S);
        goes(asked, 2 * S);
        assertNotTold(asked);
        asked.back(30 * S);
        assertTold(asked, How.NOT_ASKED, 30 * S + ASK);
    }

    @Test
    void fromThenOnEachChangeCountsSoLongAfterItWasMade() {
        asked.ended(2 * S, 1, false);
        goes(asked, 50 * S);
        assertTold(asked, How.NOT_ASKED, 50 * S + ASK);
    }

    @Test
    void aNewProcessKnowsTheListItStartsWithAndNothingElse() {
        asked.called(0, 1);
        goes(asked, S);
        asked.wrote(S, "s", false);
        asked.started(20 * S);
        assertTold(asked, How.NOT_ASKED, 20 * S + ASK);
        asked.ended(21 * S, 1, true);
        assertTold(asked, How.NOT_ASKED, 20 * S + ASK);
    }

    @Test
    void anAgentThatIsDownHasNoNewsUntilItIsBack() {
        goes(pushed, S);
        pushed.cutOff(2 * S);
        assertTold(pushed, How.PUSHED, S);
        pushed.listed(3 * S, "s", true);
        goes(pushed, 4 * S);
        assertNotTold(pushed);
        pushed.back(9 * S);
        assertTold(pushed, How.PUSHED, 9 * S);
    }
}
