package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Retuned;
import walkpost.Balancer.Settings;
import walkpost.Balancer.Tenant;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the module's state and work grow with servers and tenants: counted, as no clock tells a slope from a busy machine. */
class PolicyScalingTest {
    private static final long PAUSE = 1_000;

    private static Settings settings(int tenants) {
        var shares = new ArrayList<Tenant>();
        for (int i = 0; i < tenants; i++) {
            shares.add(new Tenant("t" + i, 1_000_000));
        }
        return PolicyHarness.settings(PolicyHarness.LIMITS, PolicyHarness.RULES, shares.toArray(Tenant[]::new));
    }

    private static PolicyHarness proxy(int servers, int tenants) {
        var proxy = new PolicyHarness(settings(tenants));
        var list = new Backend[servers];
        for (int i = 0; i < servers; i++) {
            list[i] = PolicyHarness.backend("s" + i);
        }
        proxy.list(list);
        return proxy;
    }

    /** Each tenant and class once, a moment after the other. */
    private static void once(PolicyHarness proxy, int tenants, Outcome outcome) {
        for (int i = 0; i < tenants; i++) {
            String id = proxy.arrive(PolicyHarness.VOTE, "t" + i);
            proxy.now += PolicyHarness.MS;
            proxy.feed(new AttemptEnded(id, 0, proxy.lastSend(id).backend(), outcome, PolicyHarness.MS, true));
        }
    }

    // Memory

    @ParameterizedTest
    @ValueSource(ints = {10, 40, 160, 640})
    void flowsThatAreAtRestAreNotKept(int tenants) {
        PolicyHarness proxy = proxy(40, tenants);
        once(proxy, tenants, Outcome.OK);
        assertThat(proxy.policy.trackedFlows()).isZero();
        for (int i = 0; i < 10; i++) {
            proxy.arrive(PolicyHarness.READ, "t" + i);
        }
        assertThat(proxy.policy.trackedFlows()).as("with so many requests out").isEqualTo(10);
    }

    @Test
    void flowsThatFailedAreKeptOnceEach() {
        PolicyHarness proxy = proxy(40, 100);
        once(proxy, 100, Outcome.ERROR);
        assertThat(proxy.policy.trackedFlows()).isPositive().isLessThanOrEqualTo(100);
        once(proxy, 100, Outcome.ERROR);
        assertThat(proxy.policy.trackedFlows()).isLessThanOrEqualTo(200);
    }

    @Test
    void theOldestFailuresAreForgivenWhereTooManyAreKept() {
        var ejectedFlows = new EjectedFlows(4);
        var servers = List.of(new FlowOutlierDetectors(ejectedFlows), new FlowOutlierDetectors(ejectedFlows));
        for (int i = 0; i < 10; i++) {
            servers.get(i % 2).recordResult("f" + i, false, i, PAUSE);
            assertThat(ejectedFlows.size()).isLessThanOrEqualTo(4);
        }
        assertThat(servers.get(0).size() + servers.get(1).size()).isEqualTo(4);
        for (int i = 0; i < 10; i++) {
            assertThat(servers.get(i % 2).isEligible("f" + i, 10, PAUSE)).as("flow %d", i).isEqualTo(i < 6);
        }
    }

    @Test
    void oneThatFailsAgainIsAYoungOne() {
        var ejectedFlows = new EjectedFlows(2);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.recordResult("a", false, 1, PAUSE);
        server.recordResult("b", false, 2, PAUSE);
        server.recordResult("a", false, 3, PAUSE);
        server.recordResult("c", false, 4, PAUSE);
        assertThat(server.isEligible("a", 5, PAUSE)).isFalse();
        assertThat(server.isEligible("b", 5, PAUSE)).isTrue();
    }

    @Test
    void oneThatGoesWellAgainLeavesNothing() {
        var ejectedFlows = new EjectedFlows(2);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.recordResult("a", false, 0, PAUSE);
        server.recordResult("a", false, 2 * PAUSE, PAUSE);
        server.recordResult("a", true, 9 * PAUSE, PAUSE);
        assertThat(server.size()).as("half of its pause is left").isEqualTo(1);
        server.recordResult("a", true, 9 * PAUSE, PAUSE);
        assertThat(server.size() + ejectedFlows.size()).isZero();
    }

    /** Its silence goes on counting, as that of any other. */
    @Test
    void aForgivenFlowKeepsItsAttempts() {
        var ejectedFlows = new EjectedFlows(1);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.attemptSent("a", 0);
        server.attemptSent("a", 0);
        server.attemptEnded("a", 1, true);
        server.recordResult("a", false, 1, PAUSE);
        server.recordResult("b", false, 2, PAUSE);
        assertThat(server.isEligible("a", 3, PAUSE)).as("forgiven").isTrue();
        assertThat(server.isEligible("a", 2 * PAUSE, PAUSE)).as("silent").isFalse();
        server.attemptEnded("a", 2 * PAUSE, true);
        assertThat(server.size()).isEqualTo(1);
    }

    // Work

    /** A name that counts how often it is asked for its hash, and compared. */
    private static final class Name {
        private final int number;
        private final int[] asked;

        Name(int number, int[] asked) {
            this.number = number;
            this.asked = asked;
        }

        @Override
        public int hashCode() {
            asked[0]++;
            return number * 0x9E3779B1;
        }

        @Override
        public boolean equals(Object other) {
            asked[0]++;
            return other instanceof Name name && name.number == number;
        }
    }

    /** Once with a list it took 144 million comparisons for 24,000 tenants, all on the loop that serves. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 24_000})
    void aReloadLooksUpEachTenantOnce(int tenants) {
        var asked = new int[1];
        var items = new ArrayList<Integer>();
        for (int i = 0; i < tenants; i++) {
            items.add(i);
        }
        Map<Name, Integer> first = TenantShares.rebuild(new HashMap<>(), items, i -> new Name(i, asked), (i, before) -> i);
        Map<Name, Integer> next = TenantShares.rebuild(first, items, i -> new Name(i, asked), (i, before) -> before + 1);
        assertThat(next).hasSize(tenants);
        assertThat(asked[0]).isLessThanOrEqualTo(6 * tenants);
    }

    @Test
    void aReloadAllocatesByTheTenant() {
        assertThat(reloadBytes(8_000)).isLessThan(12 * reloadBytes(1_000));
    }

    private static long reloadBytes(int tenants) {
        PolicyHarness proxy = proxy(10, tenants);
        var next = new Retuned(settings(tenants));
        proxy.feed(next);
        return allocated(() -> proxy.feed(next));
    }

    /** A pick looks at each server; it makes nothing for any. */
    @Test
    void aRequestAllocatesTheSameAtHoweverManyServers() {
        assertThat(requestBytes(2_000)).isLessThan(requestBytes(20) + 1_024);
    }

    private static long requestBytes(int servers) {
        PolicyHarness proxy = proxy(servers, 200);
        once(proxy, 200, Outcome.OK);
        return allocated(() -> {
            for (int i = 0; i < 50; i++) {
                String id = proxy.arrive(PolicyHarness.READ, "t" + i);
                proxy.feed(new AttemptEnded(id, 0, "", Outcome.OK, PolicyHarness.MS, true));
            }
        }) / 50;
    }

    private static long allocated(Runnable what) {
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        what.run();
        return threads.getCurrentThreadAllocatedBytes() - before;
    }
}
