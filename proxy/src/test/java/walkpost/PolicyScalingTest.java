package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Settings;
import walkpost.Balancer.SettingsChanged;
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

/**
 * Guards against memory and work of the module that grow faster than servers and tenants do. Counts objects, look-ups and allocated bytes,
 * because timings on a busy machine say nothing about growth.
 */
class PolicyScalingTest {
    private static final long BASE_EJECTION_US = 1_000;

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
        proxy.fullList(list);
        return proxy;
    }

    /** Sends one request of each tenant, 1 ms apart, all with the same outcome. */
    private static void requestOfEachTenant(PolicyHarness proxy, int tenants, Outcome outcome) {
        for (int i = 0; i < tenants; i++) {
            String id = proxy.arrive(PolicyHarness.VOTE, "t" + i);
            proxy.now += PolicyHarness.MS;
            proxy.feed(new AttemptEnded(id, 0, proxy.lastSend(id).backend(), outcome, PolicyHarness.MS, true));
        }
    }

    // Memory

    @ParameterizedTest
    @ValueSource(ints = {10, 40, 160, 640})
    void idleFlowsWithoutFailuresAreNotStored(int tenants) {
        PolicyHarness proxy = proxy(40, tenants);
        requestOfEachTenant(proxy, tenants, Outcome.OK);
        assertThat(proxy.policy.trackedFlows()).isZero();
        for (int i = 0; i < 10; i++) {
            proxy.arrive(PolicyHarness.READ, "t" + i);
        }
        assertThat(proxy.policy.trackedFlows()).as("with ten requests in flight").isEqualTo(10);
    }

    @Test
    void eachFlowThatFailedAtAServerIsStoredOnce() {
        PolicyHarness proxy = proxy(40, 100);
        requestOfEachTenant(proxy, 100, Outcome.ERROR);
        assertThat(proxy.policy.trackedFlows()).isPositive().isLessThanOrEqualTo(100);
        requestOfEachTenant(proxy, 100, Outcome.ERROR);
        assertThat(proxy.policy.trackedFlows()).isLessThanOrEqualTo(200);
    }

    @Test
    void oldestFailuresAreClearedIfTooManyFlowsAreStored() {
        var ejectedFlows = new EjectedFlows(4);
        var servers = List.of(new FlowOutlierDetectors(ejectedFlows), new FlowOutlierDetectors(ejectedFlows));
        for (int i = 0; i < 10; i++) {
            servers.get(i % 2).recordResult("f" + i, false, i, BASE_EJECTION_US);
            assertThat(ejectedFlows.size()).isLessThanOrEqualTo(4);
        }
        assertThat(servers.get(0).size() + servers.get(1).size()).isEqualTo(4);
        for (int i = 0; i < 10; i++) {
            assertThat(servers.get(i % 2).isEligible("f" + i, 10, BASE_EJECTION_US)).as("flow %d", i).isEqualTo(i < 6);
        }
    }

    @Test
    void flowThatFailsAgainBecomesTheYoungest() {
        var ejectedFlows = new EjectedFlows(2);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.recordResult("a", false, 1, BASE_EJECTION_US);
        server.recordResult("b", false, 2, BASE_EJECTION_US);
        server.recordResult("a", false, 3, BASE_EJECTION_US);
        server.recordResult("c", false, 4, BASE_EJECTION_US);
        assertThat(server.isEligible("a", 5, BASE_EJECTION_US)).isFalse();
        assertThat(server.isEligible("b", 5, BASE_EJECTION_US)).isTrue();
    }

    @Test
    void flowThatSucceedsAgainIsNoLongerStored() {
        var ejectedFlows = new EjectedFlows(2);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.recordResult("a", false, 0, BASE_EJECTION_US);
        server.recordResult("a", false, 2 * BASE_EJECTION_US, BASE_EJECTION_US);
        server.recordResult("a", true, 9 * BASE_EJECTION_US, BASE_EJECTION_US);
        assertThat(server.size()).as("half of its ejection time is left").isEqualTo(1);
        server.recordResult("a", true, 9 * BASE_EJECTION_US, BASE_EJECTION_US);
        assertThat(server.size() + ejectedFlows.size()).isZero();
    }

    /** Otherwise, the silence of its attempts would no longer count against it. */
    @Test
    void clearedFlowKeepsItsAttemptsInFlight() {
        var ejectedFlows = new EjectedFlows(1);
        var server = new FlowOutlierDetectors(ejectedFlows);
        server.attemptSent("a", 0);
        server.attemptSent("a", 0);
        server.attemptEnded("a", 1, true);
        server.recordResult("a", false, 1, BASE_EJECTION_US);
        server.recordResult("b", false, 2, BASE_EJECTION_US);
        assertThat(server.isEligible("a", 3, BASE_EJECTION_US)).as("failures cleared").isTrue();
        assertThat(server.isEligible("a", 2 * BASE_EJECTION_US, BASE_EJECTION_US)).as("silent").isFalse();
        server.attemptEnded("a", 2 * BASE_EJECTION_US, true);
        assertThat(server.size()).isEqualTo(1);
    }

    // Work

    /** A map key that counts how often its hash code is read and how often it is compared. */
    private static final class CountingKey {
        private final int number;
        private final int[] lookups;

        CountingKey(int number, int[] lookups) {
            this.number = number;
            this.lookups = lookups;
        }

        @Override
        public int hashCode() {
            lookups[0]++;
            return number * 0x9E3779B1;
        }

        @Override
        public boolean equals(Object other) {
            lookups[0]++;
            return other instanceof CountingKey key && key.number == number;
        }
    }

    /** With a list in place of a map, a reload of 24,000 tenants took 144 million comparisons, on the event loop that serves requests. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 24_000})
    void reloadLooksUpEachTenantOnce(int tenants) {
        var lookups = new int[1];
        var items = new ArrayList<Integer>();
        for (int i = 0; i < tenants; i++) {
            items.add(i);
        }
        Map<CountingKey, Integer> first = TenantShares.rebuild(new HashMap<>(), items, i -> new CountingKey(i, lookups), (i, before) -> i);
        Map<CountingKey, Integer> next = TenantShares.rebuild(first, items, i -> new CountingKey(i, lookups), (i, before) -> before + 1);
        assertThat(next).hasSize(tenants);
        assertThat(lookups[0]).isLessThanOrEqualTo(6 * tenants);
    }

    @Test
    void reloadAllocatesInProportionToTheTenants() {
        assertThat(reloadBytes(8_000)).isLessThan(12 * reloadBytes(1_000));
    }

    private static long reloadBytes(int tenants) {
        PolicyHarness proxy = proxy(10, tenants);
        var next = new SettingsChanged(settings(tenants));
        proxy.feed(next);
        return allocatedBytes(() -> proxy.feed(next));
    }

    /** The choice of a server looks at each server, and must not allocate for each. */
    @Test
    void requestAllocatesTheSameForAnyNumberOfServers() {
        assertThat(requestBytes(2_000)).isLessThan(requestBytes(20) + 1_024);
    }

    private static long requestBytes(int servers) {
        PolicyHarness proxy = proxy(servers, 200);
        requestOfEachTenant(proxy, 200, Outcome.OK);
        return allocatedBytes(() -> {
            for (int i = 0; i < 50; i++) {
                String id = proxy.arrive(PolicyHarness.READ, "t" + i);
                proxy.feed(new AttemptEnded(id, 0, "", Outcome.OK, PolicyHarness.MS, true));
            }
        }) / 50;
    }

    private static long allocatedBytes(Runnable task) {
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        task.run();
        return threads.getCurrentThreadAllocatedBytes() - before;
    }
}
