package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer;
import walkpost.Balancer.ListKind;
import walkpost.DiscoveryBackOff;
import walkpost.ListDeadlines;
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
 * Checks the deadline for changes of lists that are requested, on a clock that the test advances. Discovery has a change but cannot be
 * reached for some time. However its calls fail meanwhile, the change must arrive within 6 s after discovery is reachable again, with
 * responses that take 1.5 s, for all settings.
 */
class DiscoveryOutageTest {
    /** What happens to calls while discovery cannot be reached. */
    private enum Fault { REFUSED, NO_CONNECTION, SILENT, BUSY, BROKEN_OFF, RESET, NO_DESCRIPTOR, MIXED, SILENT_ONCE_MORE,
        HEDGES_REJECTED }

    private static final long STEP_MS = 10;
    private static final long RESPONSE_MS = 1_500;
    /** The time that a response takes if two calls were rejected before. */
    private static final long RESPONSE_AFTER_REJECTIONS_MS = 1_000;
    private static final long[] ASK_WITHIN_MS = {500, 1_900, 5_000, 10_000, 20_000, 60_000, 600_000};

    @ParameterizedTest
    @EnumSource
    void receivesAChangeBeforeItCounts(Fault fault) {
        for (long withinMs : ASK_WITHIN_MS) {
            for (int seed = 0; seed < 30; seed++) {
                var outage = new Outage(fault, withinMs, seed);
                assertThat(outage.receivedAtMs()).as("ask within %d ms, seed %d", withinMs, seed)
                        .isLessThanOrEqualTo(outage.publishedAtMs());
                assertThat(outage.maxOpenCalls).as("calls open at once").isLessThanOrEqualTo(3);
                // If the settings require more calls than that, a proxy also makes them after failures.
                assertThat(outage.maxCallsInASecond()).as("calls in a second").isLessThanOrEqualTo(Math.max(6, 60_000 / withinMs));
            }
        }
    }

    /** One simulated outage of discovery, played on an embedded channel with frozen time. */
    private static final class Outage {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Fault fault;
        private final long withinMs;
        private final Random random;
        /** Whether the balancer's back-off takes its longest time, not a random one. */
        private final boolean longestBackOff;
        private final long outageStartMs;
        private final long outageEndMs;
        private final List<Call> openCalls = new ArrayList<>();
        private final DiscoveryClient discovery;
        private long nowMs;
        private int failedCalls;
        private int maxOpenCalls;
        private int rejectedCalls;
        private final List<Long> callTimesMs = new ArrayList<>();
        private long silentAgainMs = -1;
        private long receivedMs = -1;

        Outage(Fault fault, long withinMs, int seed) {
            this.fault = fault;
            this.withinMs = withinMs;
            random = new Random(seed);
            longestBackOff = seed % 2 == 0;
            outageStartMs = random.nextInt(8_000) / STEP_MS * STEP_MS;
            outageEndMs = fault == Fault.HEDGES_REJECTED
                    ? outageStartMs : outageStartMs + random.nextInt(15_000) / STEP_MS * STEP_MS;
            channel.freezeTime();
            try {
                ObjectNode json = ProxyFixture.config().put("seed", "%016x".formatted(random.nextLong()));
                ((ObjectNode) json.path("settings").path("invariants")).put("must_ask_in_us", withinMs * 1_000);
                Config config = Config.parse(json);
                var clock = new ProxyClock();
                var connections = new ServerConnections(clock, channel.eventLoop(), EmbeddedChannel::new, new ConnectionBudget(256),
                        new MemoryBudget(Long.MAX_VALUE), 1, 1);
                var balancerDriver = new BalancerDriver(clock, channel.eventLoop(), (now, event, actions) -> {
                    if (event instanceof Balancer.ListUpdate update) {
                        onList(update.kind());
                    }
                }, connections);
                discovery = new DiscoveryClient(channel.eventLoop(), balancerDriver, config.discovery(), config.settings(), this::send);
                discovery.start(config.lastKnownList());
            } catch (IOException | Config.InvalidConfigException e) {
                throw new AssertionError(e);
            }
        }

        /** Reopens the watch with a back-off, as the balancer does. */
        private void onList(ListKind kind) {
            if (kind == ListKind.FAILED) {
                failedCalls++;
                long backOffUs = DiscoveryBackOff.delayUs(withinMs * 1_000, failedCalls, longestBackOff ? 1 : random.nextDouble(),
                        ListDeadlines.NONE);
                channel.eventLoop().schedule(() -> discovery.setWatching(true), backOffUs, TimeUnit.MICROSECONDS);
            } else if (kind == ListKind.CACHED) {
                channel.eventLoop().execute(() -> discovery.setWatching(true));
            } else {
                failedCalls = 0;
            }
        }

        private Runnable send(InetSocketAddress address, String uri, int connectTimeoutMs, ListRequest.Callback callback) {
            var call = new Call(callback);
            openCalls.add(call);
            callTimesMs.add(nowMs);
            maxOpenCalls = Math.max(maxOpenCalls, openCalls.size());
            if (nowMs < outageStartMs) {
                String holdMs = uri.substring(uri.indexOf("hold_ms=") + 8);
                call.runAfter(Long.parseLong(holdMs) + 20, () -> call.respond(41));
            } else if (nowMs < outageEndMs) {
                Fault currentFault = fault == Fault.MIXED ? Fault.values()[random.nextInt(7)] : fault;
                switch (currentFault) {
                    case REFUSED -> call.runAfter(1, () -> call.fail(CallFailure.UNREACHABLE));
                    case NO_CONNECTION -> call.runAfter(connectTimeoutMs, () -> call.fail(CallFailure.UNREACHABLE));
                    case BUSY -> call.runAfter(random.nextBoolean() ? 1 : 2_000, () -> call.fail(CallFailure.REJECTED));
                    case BROKEN_OFF -> call.runAfter(random.nextInt(2_000), () -> call.fail(CallFailure.BROKEN_ANSWER));
                    case RESET -> call.runAfter(random.nextInt(2_000), () -> call.fail(CallFailure.ENDED_UNANSWERED));
                    case NO_DESCRIPTOR -> {
                        // Discovery does not see a call that this machine could not make.
                        callTimesMs.remove(callTimesMs.size() - 1);
                        call.runAfter(1, () -> call.fail(CallFailure.LOCAL));
                    }
                    default -> { }
                }
            } else if (fault == Fault.SILENT_ONCE_MORE && silentAgainMs < 0) {
                silentAgainMs = nowMs;
            } else if (fault == Fault.HEDGES_REJECTED) {
                rejectedCalls++;
                call.runAfter(rejectedCalls > 2 ? RESPONSE_AFTER_REJECTIONS_MS : 1,
                        rejectedCalls > 2 ? () -> call.respond(42) : () -> call.fail(CallFailure.REJECTED));
            } else {
                call.runAfter(RESPONSE_MS, () -> call.respond(42));
            }
            return () -> openCalls.remove(call);
        }

        private final class Call {
            private final ListRequest.Callback callback;

            Call(ListRequest.Callback callback) {
                this.callback = callback;
            }

            void runAfter(long delayMs, Runnable action) {
                channel.eventLoop().schedule(() -> {
                    if (openCalls.contains(this)) {
                        action.run();
                    }
                }, delayMs, TimeUnit.MILLISECONDS);
            }

            void fail(CallFailure failure) {
                openCalls.remove(this);
                callback.failed(failure, "simulated");
            }

            /** Responds with a list; a call that is due for its response during the outage stays silent for good. */
            void respond(long version) {
                if (version == 41 && nowMs >= outageStartMs) {
                    return;
                }
                openCalls.remove(this);
                receivedMs = version == 42 && receivedMs < 0 ? nowMs : receivedMs;
                try {
                    callback.received(Config.JSON.readTree(ProxyFixture.serverList(version, false)));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        /** Returns the maximum number of calls in one second; a service that rejects calls must not be called as fast as it does so. */
        long maxCallsInASecond() {
            return callTimesMs.stream()
                    .mapToLong(fromMs -> callTimesMs.stream().filter(atMs -> atMs >= fromMs && atMs < fromMs + 1_000).count())
                    .max().orElse(0);
        }

        /** Returns when the change counts as published. */
        long publishedAtMs() {
            return Math.max(outageEndMs, silentAgainMs) + 6_000;
        }

        /** Advances the clock until the change has arrived; returns that time, or a maximum if it does not arrive within 120 s. */
        long receivedAtMs() {
            for (; receivedMs < 0 && nowMs < 120_000; nowMs += STEP_MS) {
                if (nowMs == outageStartMs && fault == Fault.REFUSED) {
                    // Discovery has died, and its connections are reset.
                    List.copyOf(openCalls).forEach(call -> call.fail(CallFailure.ENDED_UNANSWERED));
                }
                channel.runPendingTasks();
                channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
            }
            channel.finishAndReleaseAll();
            return receivedMs < 0 ? Long.MAX_VALUE : receivedMs;
        }
    }
}
