package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.ListKind;
import walkpost.Balancer.Members;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Send;
import walkpost.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rule 4 over a whole fleet on one clock: proxies that say nothing to each other, and the sum of what they send. */
class SlowStartFleetTest {
    private static final int SEEDS = 20;
    private static final int WARM = 10;

    private final List<Long> sends = new ArrayList<>();
    private final List<PolicyHarness> fleet = new ArrayList<>();
    private Random random;
    private Rules rules;
    private long now = 1000 * PolicyHarness.S;
    /** A warm backend does one request after the other, each in so long. */
    private long requestUs;

    /** Beyond what the settings allow, twice its root and two more are chance. */
    private void assertNeverMoreThanChance(long startedAt) {
        for (long from : sends) {
            double warmth = rules.coldFrom() + (1 - rules.coldFrom()) * (from + rules.fallUs() - startedAt) / rules.coldUs();
            double allowed = rules.fallMultiple() * warmth * rules.fallUs() / requestUs;
            long inWindow = sends.stream().filter(at -> at >= from && at < from + rules.fallUs()).count();
            assertThat((double) inWindow).as("sent in a window, by %d proxies", fleet.size())
                    .isLessThanOrEqualTo(allowed + 2 * Math.sqrt(allowed) + 2);
        }
    }

    private PolicyHarness proxy(int rank, int proxies) {
        return new PolicyHarness(new Settings(proxies, rank, "a", PolicyHarness.MS, List.of(PolicyHarness.READ), List.of(), 1, false, PolicyHarness.LIMITS, rules,
                random.nextLong()));
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
        list(warm());
    }

    private static List<Balancer.Backend> warm() {
        var backends = new ArrayList<Balancer.Backend>();
        for (int i = 0; i < WARM; i++) {
            backends.add(PolicyHarness.backend("s" + i));
        }
        return backends;
    }

    private void list(List<Balancer.Backend> backends) {
        for (PolicyHarness p : fleet) {
            p.now = now;
            p.feed(new Members(ListKind.FULL, backends));
        }
    }

    /** For so long the backends are kept busy, all proxies alike and none in step. */
    private void traffic(long forUs) {
        long until = now + forUs;
        long gapUs = 2 * requestUs / WARM;
        while (now < until) {
            serve(fleet.get(random.nextInt(fleet.size())));
            now += gapUs;
        }
    }

    /** All proxies are asked for more than the warm ones may have, all in the same moment. */
    private void rush() {
        for (PolicyHarness p : fleet) {
            for (int i = 0; i < 2 * WARM; i++) {
                serve(p);
            }
        }
    }

    private void serve(PolicyHarness p) {
        p.now = now;
        String id = p.arrive(PolicyHarness.READ);
        for (Send s = p.lastSend(id); s != null && p.sends(id) == 1; s = null) {
            if (s.backend().equals("cold")) {
                sends.add(now);
            }
            p.end(id, Outcome.OK, requestUs);
        }
    }

    private long coldOneStarts() {
        var backends = warm();
        backends.add(PolicyHarness.started("cold", now));
        list(backends);
        return now;
    }

    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void theSumStaysWithinWhatAColdBackendBears(int proxies, double coldFrom, long requestMs) {
        int sent = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = coldOneStarts();
            traffic(5 * PolicyHarness.S);
            rush();
            assertNeverMoreThanChance(startedAt);
            sent += sends.size();
        }
        assertThat(sent).as("it gets its part, if a small one").isGreaterThan(SEEDS);
    }

    /** Nobody has sent anything for a while, so each could have saved up: all send in the same moment. */
    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void soItDoesAfterALull(int proxies, double coldFrom, long requestMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = coldOneStarts();
            now += 12 * PolicyHarness.S;
            rush();
            assertNeverMoreThanChance(startedAt);
        }
    }

    /** All proxies are started anew just after a rush, and none knows what it had sent. */
    @ParameterizedTest
    @CsvSource({"1,0.4,50", "20,0.1,200", "30,0.1,200", "100,0.4,50", "100,0.1,50"})
    void soItDoesWhereAllProxiesAreRestarted(int proxies, double coldFrom, long requestMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(proxies, coldFrom, requestMs, seed);
            traffic(5 * PolicyHarness.S);
            long startedAt = coldOneStarts();
            now += 12 * PolicyHarness.S;
            rush();
            now += PolicyHarness.S / 2;
            fleet.replaceAll(p -> proxy(fleet.indexOf(p), proxies));
            var backends = warm();
            backends.add(PolicyHarness.started("cold", startedAt));
            list(backends);
            now += PolicyHarness.S / 4;
            rush();
            assertNeverMoreThanChance(startedAt);
        }
    }
}
