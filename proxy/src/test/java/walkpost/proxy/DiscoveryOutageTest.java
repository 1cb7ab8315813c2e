package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.BackOff;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.Members;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The terms on lists that are asked for, on a clock that the test moves: discovery has a change, but cannot be reached for some time.
 * However that shows, the change is here 6 s after it can be reached, with answers that take 1.5 s, whatever the settings.
 */
class DiscoveryOutageTest {
    /** How a call fares while discovery cannot be reached. */
    private enum Trouble { REFUSED, NO_CONNECTION, SILENT, BUSY, BROKEN_OFF, RESET, NO_DESCRIPTOR, MIXED, SILENT_ONCE_MORE, TURNED_AWAY_BESIDE }

    private static final long STEP_MS = 10;
    private static final long ANSWER_MS = 1_500;
    /** The same where two calls were turned away before. */
    private static final long ANSWER_THEN_MS = 1_000;
    private static final long[] ASK_WITHIN_MS = {500, 1_900, 5_000, 10_000, 20_000, 60_000, 600_000};

    @ParameterizedTest
    @EnumSource
    void aChangeIsHereBeforeItCounts(Trouble trouble) {
        for (long within : ASK_WITHIN_MS) {
            for (int seed = 0; seed < 30; seed++) {
                var played = new Played(trouble, within, seed);
                assertThat(played.learned()).as("ask within %d ms, seed %d", within, seed).isLessThanOrEqualTo(played.told());
                assertThat(played.mostOpen).as("calls open at once").isLessThanOrEqualTo(3);
                // Where a proxy has to ask more often than this, so it does when it fails.
                assertThat(played.mostInASecond()).as("calls in a second").isLessThanOrEqualTo(Math.max(6, 60_000 / within));
            }
        }
    }

    private static final class Played {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Trouble trouble;
        private final long withinMs;
        private final Random random;
        private final boolean latest;
        private final long cutMs;
        private final long backMs;
        private final List<Call> open = new ArrayList<>();
        private final Discovery discovery;
        private long nowMs;
        private int failed;
        private int mostOpen;
        private int turnedAway;
        private final List<Long> madeMs = new ArrayList<>();
        private long silentMs = -1;
        private long learnedMs = -1;

        Played(Trouble trouble, long withinMs, int seed) {
            this.trouble = trouble;
            this.withinMs = withinMs;
            random = new Random(seed);
            latest = seed % 2 == 0;
            cutMs = random.nextInt(8_000) / STEP_MS * STEP_MS;
            backMs = trouble == Trouble.TURNED_AWAY_BESIDE ? cutMs : cutMs + random.nextInt(15_000) / STEP_MS * STEP_MS;
            channel.freezeTime();
            try {
                ObjectNode json = Fixture.config().put("seed", "%016x".formatted(random.nextLong()));
                ((ObjectNode) json.path("settings").path("invariants")).put("must_ask_in_us", withinMs * 1_000);
                Config config = Config.parse(json);
                var clock = new Clock();
                var backends = new Backends(clock, channel.eventLoop(), EmbeddedChannel::new, new Sockets(256),
                        new Buffers(Long.MAX_VALUE), 1, 1);
                var proxy = new Proxy(clock, channel.eventLoop(), (now, event, actions) -> {
                    if (event instanceof Members m) {
                        heard(m.kind());
                    }
                }, backends);
                discovery = new Discovery(channel.eventLoop(), proxy, config.discovery(), config.settings(), this::call);
                discovery.known(config.known());
            } catch (IOException | Config.BadConfig e) {
                throw new AssertionError(e);
            }
        }

        /** Does as the module does. */
        private void heard(ListKind kind) {
            if (kind == ListKind.FAILED) {
                failed++;
                long backOffUs = BackOff.us(withinMs * 1_000, failed, latest ? 1 : random.nextDouble());
                channel.eventLoop().schedule(() -> discovery.watch(true), backOffUs, TimeUnit.MICROSECONDS);
            } else if (kind == ListKind.CACHED) {
                channel.eventLoop().execute(() -> discovery.watch(true));
            } else {
                failed = 0;
            }
        }

        private Runnable call(InetSocketAddress to, String uri, int connectMs, ListRequest.Callback callback) {
            var call = new Call(callback);
            open.add(call);
            madeMs.add(nowMs);
            mostOpen = Math.max(mostOpen, open.size());
            if (nowMs < cutMs) {
                String hold = uri.substring(uri.indexOf("hold_ms=") + 8);
                call.later(Long.parseLong(hold) + 20, () -> call.answer(41));
            } else if (nowMs < backMs) {
                Trouble now = trouble == Trouble.MIXED ? Trouble.values()[random.nextInt(7)] : trouble;
                switch (now) {
                    case REFUSED -> call.later(1, () -> call.fail(CallFailure.UNREACHABLE));
                    case NO_CONNECTION -> call.later(connectMs, () -> call.fail(CallFailure.UNREACHABLE));
                    case BUSY -> call.later(random.nextBoolean() ? 1 : 2_000, () -> call.fail(CallFailure.REJECTED));
                    case BROKEN_OFF -> call.later(random.nextInt(2_000), () -> call.fail(CallFailure.BROKEN_ANSWER));
                    case RESET -> call.later(random.nextInt(2_000), () -> call.fail(CallFailure.ENDED_UNANSWERED));
                    case NO_DESCRIPTOR -> {
                        // Discovery sees nothing of it.
                        madeMs.remove(madeMs.size() - 1);
                        call.later(1, () -> call.fail(CallFailure.LOCAL));
                    }
                    default -> { }
                }
            } else if (trouble == Trouble.SILENT_ONCE_MORE && silentMs < 0) {
                silentMs = nowMs;
            } else if (trouble == Trouble.TURNED_AWAY_BESIDE) {
                turnedAway++;
                call.later(turnedAway > 2 ? ANSWER_THEN_MS : 1, turnedAway > 2 ? () -> call.answer(42) : () -> call.fail(CallFailure.REJECTED));
            } else {
                call.later(ANSWER_MS, () -> call.answer(42));
            }
            return () -> open.remove(call);
        }

        private final class Call {
            private final ListRequest.Callback callback;

            Call(ListRequest.Callback callback) {
                this.callback = callback;
            }

            void later(long afterMs, Runnable what) {
                channel.eventLoop().schedule(() -> {
                    if (open.contains(this)) {
                        what.run();
                    }
                }, afterMs, TimeUnit.MILLISECONDS);
            }

            void fail(CallFailure failure) {
                open.remove(this);
                callback.failed(failure, "played");
            }

            /** One that was to be answered while discovery could not be reached says nothing, then and later. */
            void answer(long version) {
                if (version == 41 && nowMs >= cutMs) {
                    return;
                }
                open.remove(this);
                learnedMs = version == 42 && learnedMs < 0 ? nowMs : learnedMs;
                try {
                    callback.received(Config.JSON.readTree(Fixture.list(version, false)));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        /** A service that turns calls away is not to be asked as fast as it does so. */
        long mostInASecond() {
            return madeMs.stream().mapToLong(from -> madeMs.stream().filter(at -> at >= from && at < from + 1_000).count())
                    .max().orElse(0);
        }

        long told() {
            return Math.max(backMs, silentMs) + 6_000;
        }

        /** Returns when the change has come, or a time far off. */
        long learned() {
            for (; learnedMs < 0 && nowMs < 120_000; nowMs += STEP_MS) {
                if (nowMs == cutMs && trouble == Trouble.REFUSED) {
                    // Discovery has died, and its connections are reset.
                    List.copyOf(open).forEach(call -> call.fail(CallFailure.ENDED_UNANSWERED));
                }
                channel.runPendingTasks();
                channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
            }
            channel.finishAndReleaseAll();
            return learnedMs < 0 ? Long.MAX_VALUE : learnedMs;
        }
    }
}
