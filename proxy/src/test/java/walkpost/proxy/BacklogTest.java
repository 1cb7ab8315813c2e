package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Who counts as having waited to be accepted, on a clock and a loop of the test's own. */
class BacklogTest {
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<Boolean> told = new ArrayList<>();
    private long nowNs;
    private final LoopBeat beat = new LoopBeat(new Clock(() -> nowNs), loop.eventLoop());
    private final Backlog backlog = new Backlog(beat, new Listener() {
        @Override
        public void accept(boolean on) {
            told.add(on);
        }

        @Override
        public void close() {
            throw new UnsupportedOperationException();
        }
    });

    BacklogTest() {
        loop.freezeTime();
        beat.start();
    }

    /** Time in which the loop takes its turns, a millisecond each, and somebody is accepted in each or nobody. */
    private boolean pass(int ms, boolean somebody) {
        boolean waited = false;
        for (int i = 0; i < ms; i++) {
            nowNs += 1_000_000;
            waited = somebody && backlog.accepted();
            loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            loop.runPendingTasks();
        }
        return waited;
    }

    @Test
    void whoeverComesNowAndThenHasNotWaited() {
        for (int i = 0; i < 100; i++) {
            pass(4, false);
            assertThat(pass(1, true)).as("client %d", i).isFalse();
        }
    }

    @Test
    void aPauseMakesAllWaitUntilNobodyIsLeft() {
        assertThat(backlog.accepted()).isFalse();
        backlog.accept(false);
        pass(1, false);
        backlog.accept(true);
        assertThat(told).containsExactly(false, true);
        assertThat(pass(1, true)).isTrue();
        assertThat(pass(40, true)).isTrue();
        pass(3, false);
        assertThat(pass(1, true)).isFalse();
    }

    /** One a turn: so many came at once that the last have waited for long. */
    @Test
    void whoeverStandsBehindManyHasWaited() {
        assertThat(pass(1, true)).isFalse();
        assertThat(pass(19, true)).isFalse();
        assertThat(pass(5, true)).isTrue();
        pass(3, false);
        assertThat(pass(1, true)).isFalse();
    }

    /** The hold-up is over when the last of those come whom it has left waiting. */
    @Test
    void whoeverCameWhileTheLoopWasHeldUpHasWaited() {
        pass(1, true);
        nowNs += 100_000_000;
        assertThat(backlog.accepted()).isTrue();
        assertThat(pass(15, true)).isTrue();
    }
}
