package walkpost;

import static walkpost.PolicyHarness.MS;
import static walkpost.PolicyHarness.READ;
import static walkpost.PolicyHarness.S;
import static walkpost.PolicyHarness.backend;
import static walkpost.PolicyHarness.started;
import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.BackendState;
import walkpost.Balancer.Excluded;
import walkpost.Balancer.Included;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Release;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A backend that the operators exclude and include again. */
class ExclusionTest {
    /** A cold backend bears little: half of the requests of these tests would overload it. */
    private final PolicyHarness proxy =
            new PolicyHarness(PolicyHarness.settings(PolicyHarness.LIMITS, new Balancer.Rules(0.1, 8 * S, 2, S, 10 * S, false)));

    private List<String> serve(int requests) {
        var backends = new ArrayList<String>();
        for (int i = 0; i < requests; i++) {
            backends.add(proxy.serve(READ, 10 * MS));
        }
        return backends;
    }

    @Test
    void excludedBackendGetsNoRequestsWhateverTheListSays() {
        proxy.fullList(backend("a"), backend("b"));
        assertThat(serve(10)).contains("a");
        assertThat(proxy.feed(new Excluded("a"))).contains(new Release("a"));
        assertThat(serve(10)).containsOnly("b");
        proxy.fullList(backend("a"), backend("b"));
        assertThat(serve(10)).containsOnly("b");
        proxy.feed(new ListUpdate(ListKind.DELTA, List.of(PolicyHarness.inState(BackendState.DRAINING, "a"))));
        proxy.feed(new ListUpdate(ListKind.DELTA, List.of(started("a", proxy.now))));
        assertThat(serve(10)).containsOnly("b");
    }

    /** The list need not name it again. It gets some requests, but far less than half. */
    @Test
    void includedBackendComesBackColdWithoutAListUpdate() {
        proxy.fullList(backend("a"), backend("b"));
        serve(40);
        proxy.feed(new Excluded("a"));
        proxy.feed(new Excluded("a"));
        serve(40);
        proxy.feed(new Included("a"));
        List<String> after = serve(100);
        assertThat(after).contains("a");
        assertThat(after.stream().filter("a"::equals).count()).isLessThan(40);
        proxy.now += 9 * S;
        serve(1);
        assertThat(serve(100).stream().filter("a"::equals).count()).isBetween(45L, 55L);
    }

    /** It was restarted meanwhile, so that earlier failures say nothing about it. */
    @Test
    void includedBackendIsNotEjectedForEarlierFailures() {
        proxy.fullList(backend("a"), backend("b"));
        String id = proxy.arrive(READ);
        String failed = proxy.lastSend(id).backend();
        proxy.endAttempt(id, Outcome.CONNECT_FAILED, 10 * MS);
        proxy.endAttempt(id, Outcome.OK, 10 * MS);
        assertThat(serve(5)).doesNotContain(failed);
        proxy.feed(new Excluded(failed));
        proxy.feed(new Included(failed));
        assertThat(serve(60)).contains(failed);
    }

    @Test
    void includedBackendIsColdIfTheListNamesItOnlyLater() {
        proxy.fullList(backend("a"), backend("b"));
        serve(40);
        proxy.feed(new Excluded("a"));
        proxy.fullList(backend("b"));
        proxy.feed(new Included("a"));
        assertThat(serve(5)).containsOnly("b");
        proxy.fullList(backend("a"), backend("b"));
        List<String> after = serve(100);
        assertThat(after).contains("a");
        assertThat(after.stream().filter("a"::equals).count()).isLessThan(40);
    }
}
