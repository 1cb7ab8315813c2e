package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the 4 s after a signal to reload, for each way in which the new discovery may fail until then and each state in which the signal
 * may find the proxy. Each row is the sum at {@link ListCallTiming}: the list must be there before a drain that it tells has to be obeyed.
 */
class ReloadDeadlineTest {
    /** What the proxy was doing when the signal came. */
    private enum Before {
        WATCHING, BACKING_OFF, JUST_STARTED, SILENT_CALL, FETCHING, SAME_ADDRESS, LISTS_WERE_PUSHED,
        /** A signal came before, and its deadline is the one that is checked. */
        EARLIER_SIGNAL,
        /** A signal came before, and discovery stays in trouble beyond its deadline. */
        EARLIER_DEADLINE_MISSED
    }

    private static final InetSocketAddress NEW_ADDRESS = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress INTERIM_ADDRESS = new InetSocketAddress("127.0.0.1", 3);
    private static final long DUE_AFTER_SIGNAL_MS = 4_000;
    private static final long DRAIN_GRACE_MS = 300;
    private static final long RESPONSE_MS = 20;
    private static final long BETWEEN_SIGNALS_MS = 1_500;
    /** Each delay is a quarter of the time left or more until 0.25 s are left: 11 calls; then 3 calls 0.125 s apart, and 3 early retries. */
    private static final int MAX_CALLS = 17;
    /** The settings that are rarer in asking than the back-off at its longest. */
    private static final long RARE_ASKING_MS = 10_000;
    private static final long[] TROUBLE_MS = {0, 500, 1_500, 2_500, 3_000, 3_500, 3_800};
    /** Only calls that end at once are repeated so late that they are sure to meet a discovery that recovers at the deadline. */
    private static final long LONGEST_TROUBLE_MS = 4_000;
    private static final long[] ASK_WITHIN_MS = {1_900, 10_000, 60_000};
    private static final long OLD_DISCOVERY_DIES_MS = 1_000;
    private static final int SEEDS = 6;
    private static final long STEP_MS = 10;

    static Stream<Arguments> cells() {
        return Arrays.stream(DiscoveryFault.values())
                .flatMap(fault -> Arrays.stream(Before.values()).map(before -> Arguments.of(fault, before)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void receivesTheListBeforeDrainsCountThoughTheNewDiscoveryIsInTroubleAtFirst(DiscoveryFault fault, Before before) {
        for (boolean pushed : new boolean[] {false, true}) {
            for (long withinMs : ASK_WITHIN_MS) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    for (long troubleMs : TROUBLE_MS) {
                        check(new Reload(fault, before, troubleMs, withinMs, pushed, seed));
                    }
                    if (fault.endsAtOnce()) {
                        check(new Reload(fault, before, LONGEST_TROUBLE_MS, withinMs, pushed, seed));
                    }
                }
            }
        }
    }

    /** A list that was written counts at once, so a lost one is requested again within the 300 ms that a drain has to be obeyed. */
    @Test
    void repeatsALostResponseOfTheNewDiscoveryThoughTheOldOneDiedJustBefore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            var newCalls = new ArrayList<Long>();
            var simulation = new AtomicReference<ListClientSimulation>();
            simulation.set(new ListClientSimulation(call -> {
                boolean oldDiscoveryLives = simulation.get().nowMs() < OLD_DISCOVERY_DIES_MS;
                if (call.address.equals(NEW_ADDRESS)) {
                    newCalls.add(simulation.get().nowMs());
                    call.failAfter(1, CallFailure.BROKEN_ANSWER);
                } else if (oldDiscoveryLives) {
                    call.failAfter(OLD_DISCOVERY_DIES_MS - simulation.get().nowMs(), CallFailure.ENDED_UNANSWERED);
                } else {
                    call.failAfter(1, CallFailure.UNREACHABLE);
                }
            }, STEP_MS));
            Config config = ListClientSimulation.config(seed, RARE_ASKING_MS, false);
            ListClientSimulation.Proxy proxy = simulation.get().new Proxy(config);
            simulation.get().runUntil(3_000);
            proxy.reload(config, NEW_ADDRESS);
            simulation.get().runUntil(3_000 + DRAIN_GRACE_MS);
            assertThat(newCalls).as("calls within the grace, seed %d", seed).hasSizeGreaterThanOrEqualTo(4);
            simulation.get().close();
        }
    }

    /** Asserts when the list arrives, and the bounds of what a proxy asks of a discovery in trouble. */
    private static void check(Reload reload) {
        reload.run();
        assertThat(reload.receivedAfterMs()).as("received after the signal, %s", reload)
                .isLessThanOrEqualTo(DUE_AFTER_SIGNAL_MS + DRAIN_GRACE_MS);
        int watches = reload.before == Before.FETCHING ? 2 : 1;
        assertThat(reload.proxy.maxOpenCalls).as("calls open at once, %s", reload).isLessThanOrEqualTo(4 * watches);
        // Calls that this machine could not make and calls of an agent are no load on a shared service; settings may require more calls.
        if (reload.fault != DiscoveryFault.NO_DESCRIPTOR && reload.fault != DiscoveryFault.MIXED && !reload.pushed
                && reload.withinMs >= RARE_ASKING_MS) {
            assertThat(reload.callsUntilDrainsCount()).as("calls, %s", reload).isLessThanOrEqualTo(MAX_CALLS * watches);
        }
    }

    /** One reload, played with one seed. */
    private static final class Reload {
        private final DiscoveryFault fault;
        private final Before before;
        private final long troubleMs;
        private final boolean pushed;
        private final long withinMs;
        private final int seed;
        private final Random random;
        private final ListClientSimulation simulation = new ListClientSimulation(this::onCall, STEP_MS);
        private final ListClientSimulation.Proxy proxy;
        private long troubleFromMs = Long.MAX_VALUE;
        private long signalMs = Long.MAX_VALUE;

        Reload(DiscoveryFault fault, Before before, long troubleMs, long withinMs, boolean pushed, int seed) {
            this.fault = fault;
            this.before = before;
            this.troubleMs = troubleMs;
            this.withinMs = withinMs;
            this.pushed = pushed;
            this.seed = seed;
            random = new Random(seed);
            proxy = simulation.new Proxy(config(before == Before.LISTS_WERE_PUSHED ? !pushed : pushed));
        }

        private Config config(boolean listsArePushed) {
            return ListClientSimulation.config(seed, withinMs, listsArePushed);
        }

        void run() {
            simulation.runUntil(before == Before.JUST_STARTED ? 1_000 : 5_000 + random.nextInt(300) * 10);
            troubleFromMs = simulation.nowMs();
            signalMs = troubleFromMs;
            if (before == Before.FETCHING) {
                proxy.fetchFullList();
            }
            if (before == Before.EARLIER_SIGNAL) {
                proxy.reload(config(pushed), INTERIM_ADDRESS);
                simulation.runUntil(signalMs + Math.min(BETWEEN_SIGNALS_MS, troubleMs));
            } else if (before == Before.EARLIER_DEADLINE_MISSED) {
                proxy.reload(config(pushed), INTERIM_ADDRESS);
                signalMs += BETWEEN_SIGNALS_MS;
                simulation.runUntil(signalMs);
            }
            proxy.reload(config(pushed), before == Before.SAME_ADDRESS ? ListClientSimulation.OLD_ADDRESS : NEW_ADDRESS);
            simulation.runUntil(signalMs + DUE_AFTER_SIGNAL_MS + 2 * DRAIN_GRACE_MS);
            simulation.close();
        }

        /** Plays discovery at all its addresses. */
        private void onCall(ListClientSimulation.Call call) {
            long nowMs = simulation.nowMs();
            if (nowMs < troubleFromMs) {
                onCallBeforeSignal(call);
            } else if (nowMs < signalMs + troubleMs) {
                fault.fail(call, random);
            } else {
                call.respondAfter(call.holdMs() + RESPONSE_MS, 42);
            }
        }

        private void onCallBeforeSignal(ListClientSimulation.Call call) {
            if (simulation.nowMs() > 2_000 && (before == Before.BACKING_OFF || before == Before.SAME_ADDRESS)) {
                call.failAfter(1, CallFailure.REJECTED);
            } else if (before != Before.JUST_STARTED && (before != Before.SILENT_CALL || simulation.nowMs() < 2_000)) {
                call.respondAfter(call.holdMs() + RESPONSE_MS, 41);
            }
        }

        /** Returns when the first list after the trouble arrived, from the signal; lists before do not tell what changed since. */
        long receivedAfterMs() {
            long receivedMs = proxy.firstListAfterMs(signalMs + troubleMs);
            return receivedMs == Long.MAX_VALUE ? receivedMs : receivedMs - signalMs;
        }

        long callsUntilDrainsCount() {
            return proxy.callTimesMs.stream().filter(atMs -> atMs >= signalMs && atMs <= signalMs + DUE_AFTER_SIGNAL_MS + DRAIN_GRACE_MS).count();
        }

        @Override
        public String toString() {
            return "trouble of %d ms, ask within %d ms, pushed %b, seed %d".formatted(troubleMs, withinMs, pushed, seed);
        }
    }
}
