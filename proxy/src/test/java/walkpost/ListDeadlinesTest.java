package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ListDeadlinesTest {
    private final ListDeadlines deadlines = new ListDeadlines();

    @Test
    void hasNoDeadlineAtFirstAndAfterTheLastOne() {
        assertThat(deadlines.leftUs(7)).isEqualTo(ListDeadlines.NONE);
        deadlines.add(100, 7);
        assertThat(deadlines.leftUs(1_000_000)).isEqualTo(ListDeadlines.NONE);
    }

    @Test
    void aLaterSignalDoesNotPostponeAnEarlierDeadline() {
        deadlines.add(4_000_000, 0);
        deadlines.add(5_500_000, 1_500_000);
        assertThat(deadlines.leftUs(1_500_000)).isEqualTo(2_500_000);
        assertThat(deadlines.leftUs(4_100_000)).isEqualTo(1_400_000);
    }

    @Test
    void aCallThatFailsJustAfterADeadlineIsRepeatedAsBeforeIt() {
        deadlines.add(4_000_000, 0);
        assertThat(deadlines.leftUs(4_001_000)).isZero();
    }

    @Test
    void signalsWithoutEndTakeNoMoreMemoryAndKeepTheEarliestAndTheLatestDeadline() {
        for (int signal = 0; signal < 1_000; signal++) {
            deadlines.add(4_000_000 + signal, signal);
        }
        assertThat(deadlines.count()).isLessThanOrEqualTo(8);
        assertThat(deadlines.leftUs(1_000)).isEqualTo(3_999_000);
        assertThat(deadlines.leftUs(4_051_000)).isEqualTo(ListDeadlines.NONE);
    }
}
