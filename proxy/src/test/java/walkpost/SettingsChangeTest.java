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
import walkpost.Balancer.Retuned;
import walkpost.Balancer.Scope;
import walkpost.Balancer.Settings;
import walkpost.Balancer.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings that change under the module. */
class SettingsChangeTest {
    private final PolicyHarness proxy = new PolicyHarness(settings(LIMITS, READ, PAY));

    private static Settings settings(Limits limits, RequestClass... classes) {
        return new Settings(1, 0, "a", 4 * MS, List.of(classes), List.of(new Tenant("t", 1_000)), 0.05, false, limits, RULES, 7);
    }

    private static Limits attempts(int most) {
        return new Limits(true, false, false, false, most, 0);
    }

    @Test
    void openRequestsKeepTheirAttemptsAndNewOnesHaveFewer() {
        proxy.list(backend("a"), backend("b"), backend("c"));
        String open = proxy.arrive(READ);
        proxy.feed(new Retuned(settings(attempts(1), READ, PAY)));
        proxy.end(open, Outcome.ERROR, 10 * MS);
        assertThat(proxy.sends(open)).isEqualTo(2);
        proxy.end(open, Outcome.OK, 10 * MS);
        String next = proxy.arrive(READ);
        proxy.end(next, Outcome.ERROR, 10 * MS);
        assertThat(proxy.sends(next)).isEqualTo(1);
    }

    /** What may be sent twice is a matter of the class as it was when the request came. */
    @Test
    void openRequestsKeepTheEffectOfTheirClass() {
        proxy.list(backend("a"), backend("b"), backend("c"));
        var once = new RequestClass("read", READ.aimUs(), READ.deadlineUs(), 1, 0, Effect.UNSAFE, Scope.ALL, 0);
        String open = proxy.arrive(READ);
        proxy.feed(new Retuned(settings(LIMITS, once, PAY)));
        String next = proxy.arrive(once);
        proxy.end(open, Outcome.RESET, 10 * MS);
        proxy.end(next, Outcome.RESET, 10 * MS);
        assertThat(proxy.sends(open)).isEqualTo(2);
        assertThat(proxy.sends(next)).isEqualTo(1);
    }

    @Test
    void newClassesAreServedAndDroppedOnesStillOnTheirWay() {
        proxy.list(backend("a"), backend("b"));
        var browse = new RequestClass("browse", 300 * MS, S, 5, 0, Effect.SAFE, Scope.ALL, 0);
        proxy.feed(new Retuned(settings(LIMITS, browse)));
        assertThat(proxy.serve(browse, 10 * MS)).isIn("a", "b");
        assertThat(proxy.serve(READ, 10 * MS)).isIn("a", "b");
    }

    /** A server that is put off is not tried by all once more because the settings are others. */
    @Test
    void keepsWhatItHasLearnedOfServers() {
        proxy.list(backend("a"), backend("b"), backend("c"), backend("d"));
        String id = proxy.arrive(READ);
        String ill = proxy.lastSend(id).backend();
        proxy.end(id, Outcome.CONNECT_FAILED, 10 * MS);
        proxy.end(id, Outcome.OK, 10 * MS);
        proxy.feed(new Retuned(settings(LIMITS, PAY, READ)));
        for (int i = 0; i < 20; i++) {
            assertThat(proxy.serve(READ, 10 * MS)).isNotEqualTo(ill);
        }
    }
}
