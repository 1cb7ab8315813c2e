package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import walkpost.Balancer.Action;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Settings;

/** Tests when a list is requested again after a deadline for it was added. Times are in microseconds. */
class ListRequestScheduleTest {
    private static final long NOW = 1_000_000_000;
    private static final long DEADLINE_US = 2_000_000;
    private static final int SEEDS = 50;
    private static final Balancer.Limits LISTS_ON_REQUEST = new Balancer.Limits(true, false, false, true, 4, 0);
    private static final Balancer.Rules RARE_ASKING = new Balancer.Rules(0.4, 8_000_000, 4, 1_000_000, 60_000_000, false);
    private static final Settings SETTINGS = new Settings(2, 0, "a", 4_000, List.of(PolicyHarness.READ), List.of(), 0.05, false,
            LISTS_ON_REQUEST, RARE_ASKING, 1);

    private final List<Action> actions = new ArrayList<>();

    private long lastTimerAt() {
        return actions.stream().filter(SetTimer.class::isInstance).map(SetTimer.class::cast).reduce((a, b) -> b).orElseThrow().atUs();
    }

    /** Guards against a back-off that began just before a deadline was set, and ends after it. */
    @Test
    void shortensABackOffThatIsLongerThanAllowedBeforeANewDeadline() {
        int shortened = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            var schedule = new ListRequestSchedule(new Random(seed));
            schedule.request(SETTINGS, NOW, actions::add);
            for (int i = 0; i < 4; i++) {
                schedule.onCallFailed(SETTINGS, NOW, actions::add);
            }
            long before = lastTimerAt();
            schedule.addDeadline(NOW + DEADLINE_US, NOW, actions::add);
            long after = lastTimerAt();
            if (before > NOW + DEADLINE_US / 2) {
                shortened++;
                assertThat(after).isBetween(NOW + DEADLINE_US / 4, NOW + DEADLINE_US / 2);
                assertThat(schedule.isDue(after)).isTrue();
            } else {
                assertThat(after).isEqualTo(before);
            }
        }
        assertThat(shortened).isPositive();
    }

    @Test
    void leavesACallThatIsOpenAndAListThatHasArrived() {
        var schedule = new ListRequestSchedule(new Random(1));
        schedule.request(SETTINGS, NOW, actions::add);
        int before = actions.size();
        schedule.addDeadline(NOW + DEADLINE_US, NOW, actions::add);
        schedule.onCallFailed(SETTINGS, NOW, actions::add);
        schedule.onListReceived();
        schedule.addDeadline(NOW + 2 * DEADLINE_US, NOW, actions::add);
        assertThat(actions).hasSize(before + 1);
    }
}
