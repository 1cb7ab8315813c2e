package walkpost;

import static walkpost.PolicyHarness.LIMITS;
import static walkpost.PolicyHarness.MS;
import static walkpost.PolicyHarness.PAY;
import static walkpost.PolicyHarness.READ;
import static walkpost.PolicyHarness.RULES;
import static walkpost.PolicyHarness.S;
import static walkpost.PolicyHarness.backend;
import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Effect;
import walkpost.Balancer.Limits;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.RequestClass;
import walkpost.Balancer.Scope;
import walkpost.Balancer.Settings;
import walkpost.Balancer.SettingsChanged;
import walkpost.Balancer.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Changes of the settings while the module is running. */
class SettingsChangeTest {
    private final PolicyHarness proxy = new PolicyHarness(settings(LIMITS, READ, PAY));

    private static Settings settings(Limits limits, RequestClass... classes) {
        return new Settings(1, 0, "a", 4 * MS, List.of(classes), List.of(new Tenant("t", 1_000)), 0.05, false, limits, RULES, 7);
    }

    private static Limits maxAttempts(int attempts) {
        return new Limits(true, false, false, false, attempts, 0);
    }

    @Test
    void newAttemptLimitAppliesToNewRequestsOnly() {
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        String open = proxy.arrive(READ);
        proxy.feed(new SettingsChanged(settings(maxAttempts(1), READ, PAY)));
        proxy.endAttempt(open, Outcome.ERROR, 10 * MS);
        assertThat(proxy.sendCount(open)).isEqualTo(2);
        proxy.endAttempt(open, Outcome.OK, 10 * MS);
        String next = proxy.arrive(READ);
        proxy.endAttempt(next, Outcome.ERROR, 10 * MS);
        assertThat(proxy.sendCount(next)).isEqualTo(1);
    }

    /** Whether a request may be sent twice depends on its class as it was when the request arrived. */
    @Test
    void openRequestsKeepTheEffectOfTheirClass() {
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        var runOnce = new RequestClass("read", READ.aimUs(), READ.deadlineUs(), 1, 0, Effect.UNSAFE, Scope.ALL, 0);
        String open = proxy.arrive(READ);
        proxy.feed(new SettingsChanged(settings(LIMITS, runOnce, PAY)));
        String next = proxy.arrive(runOnce);
        proxy.endAttempt(open, Outcome.RESET, 10 * MS);
        proxy.endAttempt(next, Outcome.RESET, 10 * MS);
        assertThat(proxy.sendCount(open)).isEqualTo(2);
        assertThat(proxy.sendCount(next)).isEqualTo(1);
    }

    @Test
    void newClassesAreServedAndSoAreLateRequestsOfRemovedOnes() {
        proxy.fullList(backend("a"), backend("b"));
        var browse = new RequestClass("browse", 300 * MS, S, 5, 0, Effect.SAFE, Scope.ALL, 0);
        proxy.feed(new SettingsChanged(settings(LIMITS, browse)));
        assertThat(proxy.serve(browse, 10 * MS)).isIn("a", "b");
        assertThat(proxy.serve(READ, 10 * MS)).isIn("a", "b");
    }

    /** Otherwise, all proxies would try an ejected server again after each change of the settings. */
    @Test
    void ejectionsAreKept() {
        proxy.fullList(backend("a"), backend("b"), backend("c"), backend("d"));
        String id = proxy.arrive(READ);
        String failed = proxy.lastSend(id).backend();
        proxy.endAttempt(id, Outcome.CONNECT_FAILED, 10 * MS);
        proxy.endAttempt(id, Outcome.OK, 10 * MS);
        proxy.feed(new SettingsChanged(settings(LIMITS, PAY, READ)));
        for (int i = 0; i < 20; i++) {
            assertThat(proxy.serve(READ, 10 * MS)).isNotEqualTo(failed);
        }
    }
}
