package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.ListKind;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Send;
import walkpost.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Slow start over a whole fleet on one clock. Guards against proxies that each keep to their part, without communication, and
 * together send a cold backend too much.
 */
class SlowStartFleetTest {
    private static final int SEEDS = 20;
    private static final int WARM_BACKENDS = 10;

    private final List<Long> sends = new ArrayList<>();
    private final List<PolicyHarness> fleet = new ArrayList<>();
    private Random random;
    private Rules rules;
    private long now = 1000 * PolicyHarness.S;
    /** The time that a warm backend takes for a request; it does one after the other. */
    private long requestUs;

    /** Checks each window: beyond what the settings allow, twice its square root and two more are allowed for chance. */
    private void assertEachWindowWithinAllowance(long startedAt) {
        for (long from : sends) {
            double warmth = rules.coldFrom() + (1 - rules.coldFrom()) * (from + rules.fallUs() - startedAt) / rules.coldUs();
            double allowed = rules.fallMultiple() * warmth * rules.fallUs() / requestUs;
            long inWindow = sends.stream().filter(at -> at >= from && at < from + rules.fallUs()).count();
            assertThat((double) inWindow).as("sent in a window, by %d proxies", fleet.size())
                    .isLessThanOrEqualTo(allowed + 2 * Math.sqrt(allowed) + 2);
        }
    }

    private PolicyHarness proxy(int rank, int proxies) {
        return new PolicyHarness(new Settings(proxies, rank, "a", PolicyHarness.MS, List.of(PolicyHarness.READ), List.of(), 1, false,
                PolicyHarness.LIMITS, rules, random.nextLong()));
    }

    private void start(int proxies, double coldFrom, long requestMs, long seed) {
        requestUs = requestMs * PolicyHarness.MS;
        random = new Random(seed);
        rules = new Rules(coldFrom, 40 * PolicyHarness.S, 3, PolicyHarness.S, 10 * PolicyHarness.S, false);
        fleet.clear();
        sends.clear();
        for (int rank = 0; rank < proxies; rank++) {
            fleet.add(proxy(rank, proxies));
        }
        sendList(warmBackends());
    }

    private static List<Balancer.Backend> warmBackends() {
        var backends = new ArrayList<Balancer.Backend>();
        for (int i = 0; i < WARM_BACKENDS; i++) {
            backends.add(PolicyHarness.backend("s" + i));
        }
        return backends;
    }

    private void sendList(List<Balancer.Backend> backends) {
        for (PolicyHarness proxy : fleet) {
            proxy.now = now;
            proxy.feed(new ListUpdate(ListKind.FULL, backends));
        }
    }

    /** Keeps the backends busy for {@code forUs}, with requests at random proxies. */
    private void traffic(long forUs) {
        long until = now + forUs;
        long gapUs = 2 * requestUs / WARM_BACKENDS;
        while (now < until) {
            serve(fleet.get(random.nextInt(fleet.size())));
            now += gapUs;
        }
    }

    /** Sends each proxy at the same moment more requests than its warm backends may have. */
    private void burst() {
        for (PolicyHarness proxy : fleet) {
            for (int i = 0; i < 2 * WARM_BACKENDS; i++) {
                serve(proxy);
            }
        }
    }

    private void serve(PolicyHarness proxy) {
        proxy.now = now;
        String id = proxy.arrive(PolicyHarness.READ);
        for (Send send = proxy.lastSend(id); send != null && proxy.sendCount(id) == 1; send = null) {
            if (send.backend().equals("cold")) {
                sends.add(now);
            }
            proxy.endAttempt(id, Outcome.OK, requestUs);
        }
    }

    private long startColdBackend() {
        var backends = warmBackends();
        backends.add(PolicyHarness.started("cold", now));
        sendList(backends);
        return now;
    }

    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void proxiesTogetherKeepToTheAllowanceOfAColdBackend(int proxies, double coldFrom, long requestMs) {
        int sent = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = startColdBackend();
            traffic(5 * PolicyHarness.S);
            burst();
            assertEachWindowWithinAllowance(startedAt);
            sent += sends.size();
        }
        assertThat(sent).as("the cold backend gets some requests").isGreaterThan(SEEDS);
    }

    /** Without traffic for a while, each proxy could save up its allowance, and then all send at the same moment. */
    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void proxiesTogetherKeepToTheAllowanceAfterALull(int proxies, double coldFrom, long requestMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = startColdBackend();
            now += 12 * PolicyHarness.S;
            burst();
            assertEachWindowWithinAllowance(startedAt);
        }
    }

    /** All proxies are restarted just after a burst, and none knows what it sent before. */
    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void proxiesTogetherKeepToTheAllowanceIfAllAreRestarted(int proxies, double coldFrom, long requestMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = startColdBackend();
            now += 12 * PolicyHarness.S;
            burst();
            now += PolicyHarness.S / 2;
            fleet.replaceAll(proxy -> proxy(fleet.indexOf(proxy), proxies));
            var backends = warmBackends();
            backends.add(PolicyHarness.started("cold", startedAt));
            sendList(backends);
            now += PolicyHarness.S / 4;
            burst();
            assertEachWindowWithinAllowance(startedAt);
        }
    }
}
