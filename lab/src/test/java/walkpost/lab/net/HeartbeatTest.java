package walkpost.lab.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HeartbeatTest {
    private final Heartbeat heart = new Heartbeat();
    private final List<String> noted = new ArrayList<>();

    @BeforeEach
    void begin() {
        heart.begin(new PlayClock(), (from, to) -> noted.add(from + " to " + to));
    }

    private void slept(long dueUs, long awakeUs) {
        heart.dueAt(dueUs);
        heart.awake(awakeUs);
    }

    @Test
    void whatIsBeyondWhenItMeantToWakeUpIsAHoldUp() {
        slept(5_000, 5_000 + Heartbeat.LEAST_US);
        assertThat(noted).isEmpty();
        slept(10_000, 40_000);
        assertThat(noted).containsExactly("10000 to 40000");
        assertThat(heart.longestUs()).isEqualTo(30_000);
    }

    @Test
    void wakingUpWithoutHavingMeantToIsNoHoldUp() {
        heart.awake(90_000);
        assertThat(noted).isEmpty();
    }

    @Test
    void whatIsSeenDuringAHoldUpOrWhileItIsCaughtUpWithMayHaveComeEarlier() {
        slept(10_000, 40_000);
        assertThat(heart.earlierUs(10_000)).isZero();
        assertThat(heart.earlierUs(25_000)).isEqualTo(15_000);
        assertThat(heart.earlierUs(70_000)).isEqualTo(30_000);
        assertThat(heart.earlierUs(70_001)).isZero();
    }

    @Test
    void itTellsHowMuchOfASpanItWasHeldUp() {
        slept(10_000, 40_000);
        slept(50_000, 60_000);
        assertThat(heart.heldUs(0, 100_000)).isEqualTo(40_000);
        assertThat(heart.heldUs(30_000, 55_000)).isEqualTo(15_000);
        assertThat(heart.heldUs(40_000, 50_000)).isZero();
    }
}
