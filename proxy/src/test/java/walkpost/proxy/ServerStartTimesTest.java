package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks start times with a wall clock that is right, or that was wrong when this process started. */
class ServerStartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long TRUE_NOW_US = 1_800_000_000 * SECOND;
    private static final long COLD_US = 8 * SECOND;

    private final ServerStartTimes startTimes = new ServerStartTimes();

    private long onProxyClockUs(String id, long trueStartUs, long nowUs) {
        startTimes.observeStart(trueStartUs / 1_000, nowUs);
        return startTimes.onProxyClockUs(id, trueStartUs / 1_000, nowUs);
    }

    @Test
    void convertsStartTimesUnchangedIfTheClockIsRight() {
        assertThat(onProxyClockUs("s0", TRUE_NOW_US - 3 * SECOND, TRUE_NOW_US)).isEqualTo(TRUE_NOW_US - 3 * SECOND);
        assertThat(onProxyClockUs("s1", TRUE_NOW_US - 3_000 * SECOND, TRUE_NOW_US)).isEqualTo(TRUE_NOW_US - 3_000 * SECOND);
        assertThat(startTimes.onProxyClockUs("s2", 0, TRUE_NOW_US)).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {5, 3_600})
    void doesNotTreatANewServerAsWarmIfTheClockIsAhead(long aheadS) {
        long now = TRUE_NOW_US + aheadS * SECOND;
        onProxyClockUs("old", TRUE_NOW_US - 600 * SECOND, now);
        startTimes.listApplied(now);
        long later = now + 60 * SECOND;
        startTimes.listApplied(later);
        long trueStart = TRUE_NOW_US + 60 * SECOND;
        assertThat(later - onProxyClockUs("new", trueStart, later)).isBetween(0L, ServerStartTimes.MAX_LISTING_DELAY_US);
    }

    @ParameterizedTest
    @ValueSource(longs = {5, 3_600})
    void treatsAServerAsWarmOnTimeIfTheClockIsBehind(long behindS) {
        long now = TRUE_NOW_US - behindS * SECOND;
        long start = onProxyClockUs("new", TRUE_NOW_US - SECOND, now);
        assertThat(start).isLessThanOrEqualTo(now);
        assertThat(now + COLD_US - start).isBetween(COLD_US, COLD_US + behindS * SECOND);
        assertThat(onProxyClockUs("new", TRUE_NOW_US - SECOND, now + COLD_US)).as("the same start, listed again").isEqualTo(start);
        assertThat(now + COLD_US - start).as("its age after the cold time").isGreaterThanOrEqualTo(COLD_US);
    }

    @Test
    void returnsANewStartTimeAfterARestart() {
        long before = onProxyClockUs("s0", TRUE_NOW_US - 100 * SECOND, TRUE_NOW_US);
        startTimes.listApplied(TRUE_NOW_US);
        long after = onProxyClockUs("s0", TRUE_NOW_US + SECOND, TRUE_NOW_US + 2 * SECOND);
        assertThat(after).isEqualTo(TRUE_NOW_US + SECOND).isGreaterThan(before);
    }

    @Test
    void remembersABoundedNumberOfStartTimes() {
        for (int i = 0; i < 100_000; i++) {
            startTimes.onProxyClockUs("s" + i, TRUE_NOW_US / 1_000, TRUE_NOW_US);
        }
        assertThat(startTimes.onProxyClockUs("s99999", TRUE_NOW_US / 1_000, TRUE_NOW_US + SECOND)).isEqualTo(TRUE_NOW_US);
        startTimes.listApplied(TRUE_NOW_US + 60 * SECOND);
        assertThat(startTimes.onProxyClockUs("s0", TRUE_NOW_US / 1_000, TRUE_NOW_US + 60 * SECOND)).as("forgotten")
                .isEqualTo(TRUE_NOW_US + 50 * SECOND);
    }
}
