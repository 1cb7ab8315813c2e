package walkpost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README, and the errors for invalid settings and requests. */
class EmbeddingTest {
    private static final Balancer.RequestClass READ = new Balancer.RequestClass("read", 600_000, 2_000_000, 1, 0,
            Balancer.Effect.SAFE, Balancer.Scope.ALL, 0);
    private static final Balancer.Limits LIMITS = new Balancer.Limits(true, false, false, false, 4, 0);
    private static final Balancer.Rules RULES = new Balancer.Rules(0.4, 8_000_000, 4, 1_000_000, 10_000_000, false);

    @Test
    void readmeExampleRuns() {
        var actions = new ArrayList<Balancer.Action>();
        var policy = new Policy(new Balancer.Settings(3, 0, "zone-a", 1_000, List.of(READ), List.of(), 1, false, LIMITS, RULES, 42));
        var backend = new Balancer.Backend("10.0.0.1:80", Balancer.BackendState.READY, "std", "zone-a", 0, 0, 1);
        policy.handle(1_000, new Balancer.ListUpdate(Balancer.ListKind.FULL, List.of(backend)), actions::add);
        policy.handle(2_000, new Balancer.Arrival("r1", "read", null, null, 2_000_000, false, 0), actions::add);
        assertThat(actions).containsExactly(new Balancer.Send("r1", "10.0.0.1:80", 1_200_000));
        policy.handle(20_500, new Balancer.AttemptEnded("r1", 0, "10.0.0.1:80", Balancer.Outcome.OK, 18_500, true),
                actions::add);
        assertThat(actions).hasSize(1);
    }

    @Test
    void invalidSettingsAreNamedInTheError() {
        assertThatThrownBy(() -> new Balancer.Settings(0, 0, "a", 1, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class).hasMessage("invalid setting: balancers is 0, expected 1 or more");
        assertThatThrownBy(() -> new Balancer.Settings(1, 0, "a", 1, List.of(), List.of(), 1, false, LIMITS, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class).hasMessage("invalid setting: classes is [], expected one class or more");
        assertThatThrownBy(() -> new Balancer.Settings(1, 0, "a", 1, List.of(READ), List.of(), 1, false, null, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class).hasMessage("invalid setting: limits is null, expected a value");
        assertThatThrownBy(() -> new Balancer.Rules(0, 1, 1, 1, 1, false)).isInstanceOf(IllegalArgumentException.class)
                .hasMessage("invalid setting: cold from is 0.0, expected a part above 0 and up to 1");
    }

    @Test
    void requestOfUnknownClassIsAnError() {
        var policy = new Policy(new Balancer.Settings(1, 0, "a", 1, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1));
        assertThatThrownBy(() -> policy.handle(1, new Balancer.Arrival("r1", "write", null, null, 1, false, 0), action -> { }))
                .isInstanceOf(IllegalArgumentException.class).hasMessageContaining("write");
    }
}
