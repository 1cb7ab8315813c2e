package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When servers started, with a wall clock that is right, or that was set wrong before this process started. */
class ServerStartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long TRUE_NOW_US = 1_800_000_000 * SECOND;
    private static final long COLD_US = 8 * SECOND;

    private final ServerStartTimes starts = new ServerStartTimes();

    private long local(String id, long trueStartUs, long nowUs) {
        starts.named(trueStartUs / 1_000, nowUs);
        return starts.localUs(id, trueStartUs / 1_000, nowUs);
    }

    @Test
    void withARightClockAStartIsWhereTheListHasIt() {
        assertThat(local("s0", TRUE_NOW_US - 3 * SECOND, TRUE_NOW_US)).isEqualTo(TRUE_NOW_US - 3 * SECOND);
        assertThat(local("s1", TRUE_NOW_US - 3_000 * SECOND, TRUE_NOW_US)).isEqualTo(TRUE_NOW_US - 3_000 * SECOND);
        assertThat(starts.localUs("s2", 0, TRUE_NOW_US)).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {5, 3_600})
    void aServerThatJoinsIsNotTakenForWarmByAClockThatIsAhead(long aheadS) {
        long now = TRUE_NOW_US + aheadS * SECOND;
        local("old", TRUE_NOW_US - 600 * SECOND, now);
        starts.listed(now);
        long later = now + 60 * SECOND;
        starts.listed(later);
        long trueStart = TRUE_NOW_US + 60 * SECOND;
        assertThat(later - local("new", trueStart, later)).isBetween(0L, ServerStartTimes.LISTED_LATE_US);
    }

    @ParameterizedTest
    @ValueSource(longs = {5, 3_600})
    void aServerIsWarmInItsTimeByAClockThatIsBehind(long behindS) {
        long now = TRUE_NOW_US - behindS * SECOND;
        long start = local("new", TRUE_NOW_US - SECOND, now);
        assertThat(start).isLessThanOrEqualTo(now);
        assertThat(now + COLD_US - start).isBetween(COLD_US, COLD_US + behindS * SECOND);
        assertThat(local("new", TRUE_NOW_US - SECOND, now + COLD_US)).as("the same start, told again").isEqualTo(start);
        assertThat(now + COLD_US - start).as("its age after the cold time").isGreaterThanOrEqualTo(COLD_US);
    }

    @Test
    void aServerThatStartsAnewHasANewStart() {
        long before = local("s0", TRUE_NOW_US - 100 * SECOND, TRUE_NOW_US);
        starts.listed(TRUE_NOW_US);
        long after = local("s0", TRUE_NOW_US + SECOND, TRUE_NOW_US + 2 * SECOND);
        assertThat(after).isEqualTo(TRUE_NOW_US + SECOND).isGreaterThan(before);
    }

    @Test
    void whatIsKeptInMindHasABound() {
        for (int i = 0; i < 100_000; i++) {
            starts.localUs("s" + i, TRUE_NOW_US / 1_000, TRUE_NOW_US);
        }
        assertThat(starts.localUs("s99999", TRUE_NOW_US / 1_000, TRUE_NOW_US + SECOND)).isEqualTo(TRUE_NOW_US);
        starts.listed(TRUE_NOW_US + 60 * SECOND);
        assertThat(starts.localUs("s0", TRUE_NOW_US / 1_000, TRUE_NOW_US + 60 * SECOND)).as("forgotten")
                .isEqualTo(TRUE_NOW_US + 50 * SECOND);
    }
}
