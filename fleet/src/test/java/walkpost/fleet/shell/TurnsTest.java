package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import walkpost.fleet.StateMachine;

/** A machine's events and what comes of them, on a clock and by a thread of the test's; and a member's part in a pool. */
final class TurnsTest {
    private static final int FAILED_S = 30;

    private final Queue<Runnable> pool = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private final List<String> done = new ArrayList<>();
    private long nowUs = 1_000_000;
    /** Says each event twice, and fails at one. */
    private final StateMachine<String, String> machine = (atUs, event, actions) -> {
        if (event.equals("bad")) {
            throw new IllegalStateException("the test's");
        }
        actions.accept(event + "1");
        actions.accept(event + "2");
    };
    private final Turns<String, String> turns = new Turns<>("test", machine, "tick", () -> nowUs, counters, task -> pool.add(task),
            new Turns.Carrier<>() {
                @Override
                public void carryOut(String action, long waitedUs) {
                    nowUs += 10;
                    done.add(action + "@" + waitedUs);
                    if (action.equals("worse1")) {
                        throw new IllegalStateException("the test's");
                    }
                }

                @Override
                public void done() {
                    done.add("done");
                }
            });

    private void run() {
        while (!pool.isEmpty()) {
            pool.poll().run();
        }
    }

    @Test
    void whatComesOfAGroupIsCarriedOutInOrderWithWhatItWaited() {
        turns.put("a");
        turns.tick();
        turns.tick();
        assertThat(pool).as("one turn at a time").hasSize(1);
        run();
        assertThat(done).containsExactly("a1@0", "a2@10", "tick1@20", "tick2@30", "done");
    }

    @Test
    void aMessageIsMadeOnceItIsKnownHowLongItWaited() {
        turns.put(waitedUs -> "waited" + waitedUs + "-", 10);
        nowUs += 250;
        run();
        assertThat(done).containsExactly("waited250-1@0", "waited250-2@10", "done");
    }

    @Test
    void whatFailsIsCountedAndTheRestGoesOn() {
        turns.put("bad");
        turns.put("worse");
        turns.put("a");
        run();
        assertThat(done).containsExactly("worse1@0", "worse2@10", "a1@20", "a2@30", "done");
        assertThat(counters.get("failures")).isEqualTo(2);
    }

    @Test
    void noMoreMessagesWaitThanTheBoundAndRoomIsGivenBack() {
        for (int i = 0; i <= Turns.MOST_MESSAGES; i++) {
            turns.put(waitedUs -> "m", 10);
        }
        assertThat(counters.get("dropped_test_full")).isOne();
        turns.put("own");
        run();
        assertThat(done.stream().filter(line -> line.startsWith("m1"))).hasSize(Turns.MOST_MESSAGES);
        assertThat(done).anyMatch(line -> line.startsWith("own1"));
        turns.put(waitedUs -> "m", Turns.MOST_BYTES);
        turns.put(waitedUs -> "m", 1);
        assertThat(counters.get("dropped_test_full")).isEqualTo(2);
        run();
        turns.put(waitedUs -> "m", Turns.MOST_BYTES);
        assertThat(counters.get("dropped_test_full")).isEqualTo(2);
    }

    @Test
    void aPartInAPoolEndsWithWhatItHasTakenAndThePoolGoesOn() throws Exception {
        ExecutorService shared = Executors.newFixedThreadPool(1);
        try {
            var ends = new Workers(shared);
            var stays = new Workers(shared);
            var begun = new CountDownLatch(1);
            var goOn = new CountDownLatch(1);
            var finished = new CountDownLatch(1);
            ends.execute(() -> {
                begun.countDown();
                try {
                    goOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                finished.countDown();
            });
            begun.await();
            ends.end(0);
            assertThat(finished.getCount()).as("it waits no longer than it is told to").isOne();
            assertThatThrownBy(() -> ends.execute(() -> { })).isInstanceOf(RejectedExecutionException.class);
            goOn.countDown();
            ends.end(FAILED_S);
            assertThat(finished.getCount()).isZero();
            var others = new CountDownLatch(1);
            stays.execute(others::countDown);
            assertThat(others.await(FAILED_S, TimeUnit.SECONDS)).isTrue();
        } finally {
            shared.shutdown();
        }
    }

    @Test
    void aPoolThatHasEndedIsNotWaitedFor() throws Exception {
        ExecutorService shared = Executors.newFixedThreadPool(1);
        shared.shutdown();
        var workers = new Workers(shared);
        assertThatThrownBy(() -> workers.execute(() -> { })).isInstanceOf(RejectedExecutionException.class);
        workers.end(FAILED_S);
        var over = new Turns<String, String>("over", machine, "tick", () -> nowUs, counters, workers, new Turns.Carrier<>() {
            @Override
            public void carryOut(String action, long waitedUs) { }

            @Override
            public void done() { }
        });
        over.put("a");
        over.tick();
        assertThat(counters.get("failures")).isZero();
    }
}
