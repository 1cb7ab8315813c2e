package walkpost.lab.stats;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class PairedDifferenceTest {
    @Test
    void aSteadyGainIsClearOfZeroHoweverThePairsSwing() {
        var difference = PairedDifference.of(new double[] {0.2, 0.9, 0.5, 0.7}, new double[] {0.25, 0.94, 0.56, 0.75});
        assertThat(difference.mean()).isCloseTo(0.05, within(1e-9));
        assertThat(difference.from()).isBetween(0.04, 0.05);
        assertThat(difference.to()).isBetween(0.05, 0.06);
        assertThat(difference.clear()).isTrue();
    }

    @Test
    void aGainInOnePairAndALossInAnotherIsNotClear() {
        assertThat(PairedDifference.of(new double[] {0.5, 0.5, 0.5}, new double[] {0.6, 0.4, 0.52}).clear()).isFalse();
    }

    @Test
    void sidesThatAreNoPairsAreRefused() {
        assertThatThrownBy(() -> PairedDifference.of(new double[2], new double[3])).isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("2 against 3");
    }
}
