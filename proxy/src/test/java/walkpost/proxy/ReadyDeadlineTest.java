package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the 2 s after the readiness of the new process of an upgrade, for each way in which discovery may fail from the start of that
 * process on: the list must be there before a drain that it tells has to be obeyed.
 */
class ReadyDeadlineTest {
    private static final long[] READY_MS = {300, 1_000, 3_000};
    private static final long DUE_AFTER_READY_MS = 2_000;
    private static final long DRAIN_GRACE_MS = 300;
    private static final long RESPONSE_MS = 20;
    private static final long[] TROUBLE_AFTER_READY_MS = {0, 500, 1_000, 1_500, 1_800};
    /** Only calls that end at once are repeated so late that they are sure to meet a discovery that recovers at the deadline. */
    private static final long LONGEST_TROUBLE_MS = 2_000;
    private static final long[] ASK_WITHIN_MS = {1_900, 10_000, 60_000};
    private static final int SEEDS = 10;
    private static final long STEP_MS = 10;
    private static final long NEVER = Long.MAX_VALUE;

    @ParameterizedTest
    @EnumSource(DiscoveryFault.class)
    void receivesTheListBeforeDrainsCountThoughDiscoveryIsInTroubleSinceTheStart(DiscoveryFault fault) {
        for (boolean pushed : new boolean[] {false, true}) {
            for (long withinMs : ASK_WITHIN_MS) {
                for (long readyMs : READY_MS) {
                    for (int seed = 0; seed < SEEDS; seed++) {
                        for (long troubleMs : TROUBLE_AFTER_READY_MS) {
                            check(fault, pushed, withinMs, readyMs, troubleMs, seed);
                        }
                        if (fault.endsAtOnce()) {
                            check(fault, pushed, withinMs, readyMs, LONGEST_TROUBLE_MS, seed);
                        }
                    }
                }
            }
        }
    }

    private static void check(DiscoveryFault fault, boolean pushed, long withinMs, long readyMs, long troubleMs, int seed) {
        var random = new Random(seed);
        var clock = new long[1];
        var simulation = new ListClientSimulation(call -> {
            if (clock[0] < readyMs + troubleMs) {
                fault.fail(call, random);
            } else {
                call.respondAfter(call.holdMs() + RESPONSE_MS, 42);
            }
        }, STEP_MS);
        ListClientSimulation.Proxy proxy = simulation.new Proxy(ListClientSimulation.config(seed, withinMs, pushed));
        while (clock[0] < readyMs + DUE_AFTER_READY_MS + 2 * DRAIN_GRACE_MS) {
            if (clock[0] == readyMs) {
                proxy.becomeReady();
            }
            clock[0] += STEP_MS;
            simulation.runUntil(clock[0]);
        }
        long receivedMs = proxy.firstListAfterMs(0);
        assertThat(receivedMs == NEVER ? NEVER : receivedMs - readyMs)
                .as("received after readiness at %d ms, trouble of %d ms, ask within %d ms, pushed %b, seed %d", readyMs, troubleMs, withinMs,
                        pushed, seed)
                .isLessThanOrEqualTo(DUE_AFTER_READY_MS + DRAIN_GRACE_MS);
        simulation.close();
    }
}
