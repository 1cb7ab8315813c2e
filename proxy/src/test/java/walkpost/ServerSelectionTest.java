package walkpost;

import static walkpost.PolicyHarness.MS;
import static walkpost.PolicyHarness.READ;
import static walkpost.PolicyHarness.S;
import static walkpost.PolicyHarness.VOTE;
import static walkpost.PolicyHarness.backend;
import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Backend;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The choice of a server: the earliest-deadline order, its weights, outlier detection, costs, zones and warm keys. */
class ServerSelectionTest {
    private final PolicyHarness proxy = new PolicyHarness();

    @Test
    void ordersTwoBackendsAsInThePaper() {
        proxy.fullList(new Backend("d1", BackendState.READY, "one", "a", 1, 0, 1),
                new Backend("d2", BackendState.READY, "two", "a", 1, 0, 2));
        var order = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            String id = proxy.arrive(READ);
            order.add(proxy.lastSend(id).backend());
            proxy.endAttempt(id, Outcome.OK, MS);
        }
        // Deadlines 1/1 and 1/2: d2. Then 1/1 and 2/2, a tie that goes to the first in the list. Then 2/1 and 2/2: d2.
        assertThat(order).containsExactly("d2", "d1", "d2");
    }

    @Test
    void fasterKindsGetRequestsInProportionToTheirSpeed() {
        proxy.fullList(backend("fast", "f", "a", 1), backend("slow", "s", "a", 1));
        for (int i = 0; i < 200; i++) {
            serveAtSpeed();
        }
        Map<String, Integer> requestsByBackend = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            requestsByBackend.merge(serveAtSpeed(), 1, Integer::sum);
        }
        assertThat(requestsByBackend.get("fast") / (double) requestsByBackend.get("slow")).isBetween(1.8, 2.2);
    }

    private String serveAtSpeed() {
        String id = proxy.arrive(READ);
        long latency = proxy.lastSend(id).backend().equals("fast") ? 10 * MS : 20 * MS;
        proxy.now += latency;
        proxy.endAttempt(id, Outcome.OK, latency);
        return proxy.lastSend(id).backend();
    }

    @Test
    void equalBackendsTakeTurns() {
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        var order = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            order.add(proxy.serve(READ, MS));
        }
        assertThat(order.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c").isEqualTo(order.subList(3, 6));
    }

    @Test
    void newBackendIsNotSentTheRequestsItMissed() {
        proxy.fullList(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            proxy.serve(READ, MS);
        }
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        var next = List.of(proxy.serve(READ, MS), proxy.serve(READ, MS), proxy.serve(READ, MS));
        assertThat(next).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void failingClassIsEjectedFromABackendAndOtherClassesAreNot() {
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        Map<String, Integer> reads = new HashMap<>();
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            reads.merge(proxy.serve(READ, 10 * MS), 1, Integer::sum);
            String id = proxy.arrive(PolicyHarness.VOTE);
            proxy.now += 10 * MS;
            boolean toFailing = proxy.lastSend(id).backend().equals("a");
            failed += toFailing ? 1 : 0;
            proxy.endAttempt(id, toFailing ? Outcome.ERROR : Outcome.OK, 10 * MS);
            if (toFailing) {
                proxy.endAttempt(id, Outcome.OK, 10 * MS);
            }
        }
        // The test lasts six seconds, and the ejections last 1.2, 2.4 and 4.8 s.
        assertThat(failed).isBetween(2, 3);
        assertThat(reads.get("a")).isGreaterThan(60);
    }

    @Test
    void classThatFailsAtAllBackendsIsStillSent() {
        proxy.fullList(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(PolicyHarness.VOTE);
            assertThat(proxy.sendCount(id)).isEqualTo(1);
            proxy.now += 10 * MS;
            proxy.endAttempt(id, Outcome.ERROR, 10 * MS);
        }
    }

    @Test
    void backendSlowerThanItsKindLosesWeight() {
        proxy.fullList(backend("a"), backend("b"), backend("lame"));
        Map<String, Integer> requestsByBackend = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.arrive(READ);
            String to = proxy.lastSend(id).backend();
            requestsByBackend.merge(to, 1, Integer::sum);
            long latency = to.equals("lame") ? 200 * MS : 20 * MS;
            proxy.now += latency;
            proxy.endAttempt(id, Outcome.OK, latency);
        }
        assertThat(requestsByBackend.get("lame")).isLessThan(requestsByBackend.get("a") / 2);
    }

    @Test
    void unresponsiveBackendGetsNoMoreThanItsPart() {
        proxy.fullList(backend("a"), backend("hung"));
        int stuck = 0;
        for (int i = 0; i < 50; i++) {
            String id = proxy.arrive(READ);
            if (proxy.lastSend(id).backend().equals("hung")) {
                stuck++;
            } else {
                proxy.now += 10 * MS;
                proxy.endAttempt(id, Outcome.OK, 10 * MS);
            }
        }
        assertThat(stuck).isEqualTo(1);
    }

    /** The virtual time has risen by one, as for any request, so that only the work in flight shows that the backend is busy. */
    @Test
    void backendBusyWithACostlyRequestGetsNoOtherWhileOthersHaveRoom() {
        proxy.fullList(backend("a"), backend("b"), backend("c"));
        for (int i = 0; i < 100; i++) {
            String id = proxy.arrive(READ, null, 10 * MS);
            proxy.now += 10 * MS;
            proxy.endAttempt(id, Outcome.OK, 10 * MS);
        }
        String costly = proxy.lastSend(proxy.arrive(READ, null, 200 * MS)).backend();
        for (int i = 0; i < 20; i++) {
            String one = proxy.arrive(READ, null, 10 * MS);
            String two = proxy.arrive(READ, null, 10 * MS);
            String three = proxy.arrive(READ, null, 10 * MS);
            for (String id : List.of(one, two, three)) {
                assertThat(proxy.lastSend(id).backend()).isNotEqualTo(costly);
            }
            proxy.now += 10 * MS;
            for (String id : List.of(one, two, three)) {
                proxy.endAttempt(id, Outcome.OK, 10 * MS);
            }
        }
    }

    /** The cost is the time on a standard core. Here the fast kind takes as long as that, and the slow kind three times as long. */
    private void learnCosts() {
        proxy.fullList(backend("fast", "f", "a", 1), backend("slow", "s", "a", 1));
        for (int i = 0; i < 400; i++) {
            long cost = (i % 9 + 1) * 10 * MS;
            String id = proxy.arrive(READ, null, cost);
            long latency = 5 * MS + cost * (proxy.lastSend(id).backend().equals("fast") ? 1 : 3);
            proxy.now += latency;
            proxy.endAttempt(id, Outcome.OK, latency);
        }
    }

    @Test
    void costlyRequestIsSentOnlyToBackendsThatCanMeetItsAim() {
        learnCosts();
        for (int i = 0; i < 6; i++) {
            String id = proxy.arrive(READ, null, 300 * MS);
            assertThat(proxy.lastSend(id).backend()).isEqualTo("fast");
            proxy.now += 305 * MS;
            proxy.endAttempt(id, Outcome.OK, 305 * MS);
        }
    }

    /** The answer would be worth nothing, and the work would keep many other requests waiting. */
    @Test
    void requestThatNoBackendCanFinishInTimeIsRefusedAtOnce() {
        learnCosts();
        String id = proxy.arrive(READ, null, 900 * MS);
        assertThat(proxy.sendCount(id)).isZero();
        assertThat(proxy.hasAction(new Balancer.Refuse(id, 0))).isTrue();
        assertThat(proxy.sendCount(proxy.arrive(READ, null, 50 * MS))).isEqualTo(1);
    }

    /** Otherwise, if all requests were refused, the proxy would never find out that the backends are fast again. */
    @Test
    void timePerCostIsForgottenWithoutAnswers() {
        learnCosts();
        proxy.now += 20 * S;
        assertThat(proxy.sendCount(proxy.arrive(READ, null, 900 * MS))).isEqualTo(1);
    }

    @Test
    void queuedRequestThatIsTooLargeDoesNotBlockSmallerOnes() {
        proxy.fullList(backend("a"), backend("b"));
        for (int i = 0; i < 100; i++) {
            String id = proxy.arrive(READ, null, 10 * MS);
            proxy.now += 10 * MS;
            proxy.endAttempt(id, Outcome.OK, 10 * MS);
        }
        proxy.arrive(READ, null, 10 * MS);
        proxy.arrive(READ, null, 10 * MS);
        assertThat(proxy.sendCount(proxy.arrive(READ, null, 50 * MS))).isZero();
        assertThat(proxy.sendCount(proxy.arrive(READ, null, 5 * MS))).isEqualTo(1);
    }

    @Test
    void keyIsSentToTheSameBackendByAllProxiesWhileThatHasRoom() {
        var backends = new Backend[] {backend("a"), backend("b"), backend("c"), backend("d")};
        var backendByKey = new HashMap<String, String>();
        for (long seed = 1; seed <= 3; seed++) {
            var harness = new PolicyHarness(new Balancer.Settings(3, 0, "a", MS, List.of(READ), List.of(), 1, true,
                    PolicyHarness.LIMITS, PolicyHarness.RULES, seed));
            harness.fullList(backends);
            for (int i = 0; i < 40; i++) {
                String key = "key" + i;
                harness.feed(new Balancer.Arrival("k" + i, "read", null, key, 2 * S, false, 0));
                String to = harness.lastSend("k" + i).backend();
                assertThat(backendByKey.putIfAbsent(key, to)).isIn(null, to);
                if (i % 4 != 0) {
                    harness.endAttempt("k" + i, Outcome.OK, MS);
                } else {
                    harness.feed(new Balancer.Arrival("again" + i, "read", null, key, 2 * S, false, 0));
                    assertThat(harness.lastSend("again" + i).backend()).isNotEqualTo(to);
                    harness.endAttempt("again" + i, Outcome.OK, MS);
                    harness.endAttempt("k" + i, Outcome.OK, MS);
                }
            }
        }
        assertThat(backendByKey.values()).contains("a", "b", "c", "d");
    }

    @Test
    void ownZoneIsPreferredWhileItHasRoom() {
        proxy.fullList(backend("far", "std", "b", 2), backend("near", "std", "a", 1));
        int near = 0;
        for (int i = 0; i < 10; i++) {
            near += proxy.serve(READ, MS).equals("near") ? 1 : 0;
        }
        assertThat(near).as("four times as many requests, not all").isEqualTo(8);
        proxy.arrive(READ);
        proxy.arrive(READ);
        String third = proxy.arrive(READ);
        String fourth = proxy.arrive(READ);
        assertThat(List.of(proxy.lastSend(third).backend(), proxy.lastSend(fourth).backend())).contains("far");
    }

    @Test
    void equalEventsGiveEqualActions() {
        var other = new PolicyHarness();
        for (PolicyHarness harness : List.of(proxy, other)) {
            harness.fullList(backend("a"), backend("b", "k", "b", 2), PolicyHarness.started("c", harness.now - S));
            for (int i = 0; i < 300; i++) {
                harness.serve(i % 3 == 0 ? PolicyHarness.PAY : READ, (i * 7919L % 40 + 1) * MS);
            }
        }
        assertThat(proxy.actions).isEqualTo(other.actions);
    }

    @Test
    void unreachableBackendIsTriedLessAndLessOften() {
        var harness = new PolicyHarness();
        harness.fullList(backend("a"), backend("b"), backend("c"), backend("lost"));
        int tried = 0;
        for (int i = 0; i < 600; i++) {
            String id = harness.arrive(READ);
            harness.now += 10 * MS;
            if (harness.lastSend(id).backend().equals("lost")) {
                tried++;
                harness.endAttempt(id, Outcome.CONNECT_FAILED, 10 * MS);
            }
            harness.endAttempt(id, Outcome.OK, 10 * MS);
        }
        // The test lasts six seconds, and the ejections last 1.2, 2.4 and 4.8 s.
        assertThat(tried).isBetween(2, 3);
    }

    @Test
    void ejectedBackendsAreUsedIfNearlyAllAreUnreachable() {
        var harness = new PolicyHarness();
        harness.fullList(backend("a"), backend("b"));
        for (int i = 0; i < 20; i++) {
            String id = harness.arrive(VOTE);
            assertThat(harness.sendCount(id)).isPositive();
            for (int attempt = 0; attempt < 4; attempt++) {
                harness.endAttempt(id, Outcome.CONNECT_FAILED, 10 * MS);
            }
            harness.now += 10 * MS;
        }
    }

    @Test
    void backendWithOccasionalErrorsIsNotEjectedForTheLongestTime() {
        var harness = new PolicyHarness();
        harness.fullList(backend("a"), backend("b"), backend("c"), backend("errs"));
        int toFaulty = 0;
        for (int i = 0; i < 4000; i++) {
            String id = harness.arrive(READ);
            harness.now += 10 * MS;
            if (harness.lastSend(id).backend().equals("errs") && toFaulty++ % 4 == 0) {
                harness.endAttempt(id, Outcome.ERROR, 10 * MS);
            }
            harness.endAttempt(id, Outcome.OK, 10 * MS);
        }
        // If it were ejected for the longest time after every error, it would get 17 requests; each of the others gets 980 or more.
        assertThat(toFaulty).isBetween(30, 400);
    }
}
