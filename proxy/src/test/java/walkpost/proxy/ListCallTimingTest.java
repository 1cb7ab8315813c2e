package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import walkpost.DiscoveryBackOff;

/** Checks the timing of calls against each deadline of STANDING on silence; times are in milliseconds from the start of a call. */
class ListCallTimingTest {
    private static final long[] ASK_WITHIN_MS = {500, 1_900, 5_000, 10_000, 20_000, 60_000, 600_000};

    static Stream<Arguments> timings() {
        return Stream.of(true, false).flatMap(pushed -> java.util.Arrays.stream(ASK_WITHIN_MS)
                .mapToObj(withinMs -> Arguments.of(pushed, new ListCallTiming(pushed, withinMs))));
    }

    /** Returns the waits of a watch's calls: none, and the shortest and the longest of its first wait and of the later ones. */
    private static List<Long> waits(ListCallTiming timing) {
        return List.of(0L, timing.randomWaitMs(true, 0), timing.randomWaitMs(false, 0), timing.randomWaitMs(true, 1),
                timing.randomWaitMs(false, 1));
    }

    /** Returns when a missed change counts as published: 6 s after the silence began, or 2 s after the end of the wait if that is later. */
    private static long publishedAtMs(long silentSinceMs, long waitMs) {
        return Math.max(silentSinceMs + 6_000, waitMs == 0 ? 0 : waitMs + 2_000);
    }

    /** Returns when the list arrives if the first {@code silentCalls} requests stay silent and the next one takes {@code responseMs}. */
    private static long receivedAtMs(ListCallTiming.CallSchedule schedule, int silentCalls, long responseMs) {
        var startsMs = new ArrayList<>(List.of(0L));
        startsMs.addAll(schedule.hedgeAfterMs());
        return startsMs.get(silentCalls) + (silentCalls == 0 ? schedule.waitMs() : 0) + responseMs;
    }

    @ParameterizedTest
    @MethodSource("timings")
    void receivesAChangeThatASilentWatchMissesBeforeItCounts(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            for (long silentSinceMs = 0; silentSinceMs <= waitMs; silentSinceMs += 100) {
                assertThat(receivedAtMs(timing.schedule(waitMs), 1, 0)).isLessThan(publishedAtMs(silentSinceMs, waitMs) - 1_000);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("timings")
    void receivesAMissedChangeInTimeFromASlowDiscovery(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            assertThat(receivedAtMs(timing.schedule(waitMs), 1, 1_000)).isLessThan(publishedAtMs(0, waitMs));
        }
    }

    /** Discovery takes a hundred calls in turn, 15 ms each, so that the last response arrives after 1.5 s. */
    @ParameterizedTest
    @MethodSource("timings")
    void receivesAMissedChangeInTimeIfAHundredProxiesCallAtOnce(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            assertThat(receivedAtMs(timing.schedule(waitMs), 1, 100 * 15)).isLessThan(publishedAtMs(0, waitMs));
        }
    }

    /**
     * The hedge call of a silent call falls silent too, so a change that it misses counts from its silence on. With an agent, which has no
     * queue, and with short waits, a change that the first silence hid arrives in time as well.
     */
    @ParameterizedTest
    @MethodSource("timings")
    void receivesAMissedChangeInTimeIfDiscoveryFallsSilentTwiceInARow(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            ListCallTiming.CallSchedule schedule = timing.schedule(waitMs);
            long firstHedgeMs = schedule.hedgeAfterMs().get(0);
            assertThat(receivedAtMs(schedule, 2, 1_500)).isLessThan(publishedAtMs(firstHedgeMs, 0));
            if (pushed || waitMs < 2_400) {
                assertThat(receivedAtMs(schedule, 2, 1_000)).isLessThan(publishedAtMs(0, waitMs));
            }
        }
    }

    /** A service answers calls in turn, within 2 s, and rejects both calls of a proxy that calls again while its call is queued. */
    @ParameterizedTest
    @MethodSource("timings")
    void doesNotHedgeACallAgainWhileItIsQueued(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            List<Long> hedgeAfterMs = timing.schedule(waitMs).hedgeAfterMs();
            assertThat(hedgeAfterMs.get(1) - hedgeAfterMs.get(0)).isGreaterThanOrEqualTo(pushed ? 500 : 1_950);
        }
    }

    /** A call must not time out before its last hedge call has had its turn. */
    @ParameterizedTest
    @MethodSource("timings")
    void leavesTheLastHedgeCallTimeForItsResponse(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            ListCallTiming.CallSchedule schedule = timing.schedule(waitMs);
            assertThat(schedule.timeoutMs()).isGreaterThan(receivedAtMs(schedule, schedule.hedgeAfterMs().size(), 1_500));
        }
    }

    /** Checks the rows of the table at {@link ListCallTiming} that include the balancer's back-off: each must stay within 6 s. */
    @Test
    void repeatsAFailedCallBeforeAChangeThatItMissedCounts() {
        long backOffMs = DiscoveryBackOff.MAX_DELAY_US / 1_000;
        for (long withinMs : ASK_WITHIN_MS) {
            var timing = new ListCallTiming(false, withinMs);
            for (long waitMs : waits(timing)) {
                ListCallTiming.CallSchedule schedule = timing.schedule(waitMs);
                long lastHedgeMs = schedule.timeoutMs() - schedule.hedgeAfterMs().get(schedule.hedgeAfterMs().size() - 1);
                assertThat(lastHedgeMs + backOffMs + 1_500).as("timed out").isLessThan(6_000);
            }
            assertThat(timing.connectTimeoutMs() + backOffMs + 1_500).as("not connected").isLessThan(6_000);
            assertThat(backOffMs + receivedAtMs(timing.schedule(0), 1, 1_500)).as("silent after the back-off").isLessThan(6_000);
        }
    }

    /** Checks the rows of the table at {@link ListCallTiming} for the 4 s after a signal to reload: each must stay within 4.3 s. */
    @ParameterizedTest
    @MethodSource("timings")
    void repeatsACallBeforeWhatDiscoveryHasCountsAfterASignal(boolean pushed, ListCallTiming timing) {
        for (long leftMs = 0; leftMs <= ListCallTiming.LIST_DUE_AFTER_SIGNAL_MS; leftMs += 50) {
            long backOffMs = DiscoveryBackOff.limitUs(leftMs * 1_000) / 1_000;
            assertThat(backOffMs).as("back-off, %d ms left", leftMs).isLessThanOrEqualTo(Math.max(leftMs / 2, 250)).isLessThan(leftMs + 300);
            for (int retries = 0; retries < 9; retries++) {
                assertThat(timing.hedgeRetryMs(retries, 1, leftMs * 1_000)).as("hedge call, %d ms left", leftMs).isLessThanOrEqualTo(backOffMs);
            }
        }
    }

    /** Whenever a call that need not wait has started, one request follows between 0.2 s before the deadline and 0.1 s after it. */
    @ParameterizedTest
    @MethodSource("timings")
    void hedgesACallThatIsOpenAtTheDeadlineAfterASignal(boolean pushed, ListCallTiming timing) {
        ListCallTiming.CallSchedule schedule = timing.schedule(0);
        for (long leftMs : new long[] {0, timing.deadlineHedgeBeforeMs(0.5), timing.deadlineHedgeBeforeMs(1)}) {
            assertThat(leftMs).isLessThanOrEqualTo(200);
            for (long ageMs = 0; ageMs < schedule.timeoutMs(); ageMs += 10) {
                long deadlineMs = ageMs + leftMs;
                boolean hedgedAnyway = schedule.hedgeAfterMs().stream()
                        .anyMatch(afterMs -> afterMs >= deadlineMs - 200 && afterMs <= deadlineMs + 100);
                assertThat(hedgedAnyway || timing.needsDeadlineHedge(schedule, ageMs, leftMs)).isTrue();
            }
        }
    }

    /** A watch that waits for changes is not in trouble because of a signal. */
    @ParameterizedTest
    @MethodSource("timings")
    void doesNotHedgeAWatchBecauseOfASignal(boolean pushed, ListCallTiming timing) {
        assertThat(timing.needsDeadlineHedge(timing.schedule(timing.maxWaitMs()), 0, 200)).isFalse();
    }

    /** Each call is work for a service that all proxies share, and a needless hedge call would double it. */
    @ParameterizedTest
    @MethodSource("timings")
    void doesNotHedgeAWatchThatIsAnsweredInTime(boolean pushed, ListCallTiming timing) {
        for (long waitMs : waits(timing)) {
            assertThat(timing.schedule(waitMs).hedgeAfterMs()).allMatch(afterMs -> afterMs > waitMs + 500);
        }
    }

    @Test
    void limitsTheWaitThatFollowsFromTheSettings() {
        assertThat(new ListCallTiming(false, 6_000).maxWaitMs()).isEqualTo(2_000);
        assertThat(new ListCallTiming(false, 1_900).maxWaitMs()).isEqualTo(1_000);
        // A longer wait would leave too little of the 6 s.
        assertThat(new ListCallTiming(false, 60_000).maxWaitMs()).isEqualTo(3_500);
    }

    /** All proxies of a fleet start together, so their first waits must not end together. */
    @Test
    void spreadsTheFirstWaitsOverTheirWholeRange() {
        var timing = new ListCallTiming(false, 9_000);
        assertThat(timing.randomWaitMs(true, 0)).isEqualTo(375);
        assertThat(timing.randomWaitMs(false, 0)).isEqualTo(2_250);
        assertThat(timing.randomWaitMs(true, 1)).isEqualTo(timing.randomWaitMs(false, 1)).isEqualTo(3_000);
    }

    /** Pushed lists count at once after an outage of the agent, so 300 ms and the protocol's tolerance of 50 ms are left. */
    @Test
    void reachesARestartedAgentBeforeItsListMustBeObeyed() {
        var timing = new ListCallTiming(true, 10_000);
        assertThat(timing.agentRetryMs() + timing.connectTimeoutMs()).isLessThanOrEqualTo(300);
    }
}
