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
            long least = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 0);
            long most = DiscoveryBackOff.delayUs(requestListWithinUs, failed, 1);
            assertThat(most).isBetween(previousMost, DiscoveryBackOff.MAX_DELAY_US);
            assertThat(least).isLessThanOrEqualTo(most / 2);
            previousMost = most;
        }
    }

    @Test
    void followsTheSettingsBelowTheLongest() {
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 1, 0)).isEqualTo(50_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 1, 1)).isEqualTo(150_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 4, 0.5)).isEqualTo(800_000);
        assertThat(DiscoveryBackOff.delayUs(3_200_000, 9, 0.5)).isEqualTo(800_000);
    }
}
