package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DiscoveryBackOffTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 500_000, 1_900_000, 10_000_000, 20_000_000, 60_000_000, 600_000_000, Long.MAX_VALUE / 100})
    void growsUpToTheLongestAndHasJitter(long requestListWithinUs) {
        long previousMost = 0;
        for (int failed = 1; failed < 100; failed++) {
            long least = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 0, ListDeadlines.NONE);
            long most = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 1, ListDeadlines.NONE);
            assertThat(most).isBetween(previousMost, DiscoveryBackOff.MAX_DELAY_US);
            assertThat(least).isLessThanOrEqualTo(most / 2);
            previousMost = most;
        }
    }

    @Test
    void followsTheSettingsBelowTheLongest() {
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 1, 0, ListDeadlines.NONE)).isEqualTo(50_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 1, 1, ListDeadlines.NONE)).isEqualTo(150_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 4, 0.5, ListDeadlines.NONE)).isEqualTo(800_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 9, 0.5, ListDeadlines.NONE)).isEqualTo(800_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 500_000, 1_900_000, 10_000_000, 60_000_000, Long.MAX_VALUE / 100})
    void leavesHalfOfTheTimeUntilADeadlineToTheCallAndKeepsItsJitter(long requestListWithinUs) {
        for (long leftUs = 0; leftUs < 6_000_000; leftUs += 50_000) {
            for (int failed = 1; failed < 10; failed++) {
                long least = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 0, leftUs);
                long most = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 1, leftUs);
                assertThat(most).isLessThanOrEqualTo(Math.max(leftUs / 2, 250_000))
                        .isLessThanOrEqualTo(DiscoveryBackOff.delayUs(requestListWithinUs, failed, 1, ListDeadlines.NONE));
                assertThat(least).isLessThanOrEqualTo(most / 2);
            }
        }
    }
}
