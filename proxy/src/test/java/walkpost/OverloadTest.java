package walkpost;

import static walkpost.PolicyHarness.LIMITS;
import static walkpost.PolicyHarness.MS;
import static walkpost.PolicyHarness.PAY;
import static walkpost.PolicyHarness.READ;
import static walkpost.PolicyHarness.RULES;
import static walkpost.PolicyHarness.backend;
import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Fail;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Refuse;
import walkpost.Balancer.Send;
import walkpost.Balancer.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Overload: more requests arrive than the backends can serve. Tests the concurrency limit, the queue and the refusals. */
class OverloadTest {
    private final PolicyHarness proxy = new PolicyHarness();

    @Test
    void requestsOverTheLimitAreQueuedAndThenRefusedAtOnce() {
        proxy.fullList(backend("a"), backend("b"));
        for (int i = 0; i < 100; i++) {
            proxy.arrive(READ);
        }
        long sent = proxy.actions.stream().filter(a -> a instanceof Send).count();
        long refused = proxy.actions.stream().filter(a -> a instanceof Refuse).count();
        assertThat(sent).isBetween(2L, 10L);
        assertThat(refused).isBetween(80L, 96L);
        assertThat(sent + refused).isLessThan(100);
    }

    /** With little traffic, one flow sees too few answers of a backend. The other flows do not have to find the failure again. */
    @Test
    void backendSilentForOneClassIsEjectedForAll() {
        proxy.fullList(backend("a"), backend("b"), backend("c"), backend("d"));
        String pay = proxy.arrive(PAY);
        String silent = proxy.lastSend(pay).backend();
        proxy.advance(800 * MS);
        proxy.endAttempt(pay, Outcome.TIMEOUT, 800 * MS);
        for (int i = 0; i < 20; i++) {
            assertThat(proxy.serve(READ, 10 * MS)).isNotEqualTo(silent);
        }
    }

    @Test
    void queuedRequestOfHighestWorthIsSentFirst() {
        proxy.fullList(backend("a"));
        var sent = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            sent.add(proxy.arrive(READ));
        }
        String read = proxy.arrive(READ);
        String pay = proxy.arrive(PAY);
        assertThat(proxy.sendCount(read) + proxy.sendCount(pay)).isZero();
        proxy.endAttempt(sent.get(0), Outcome.OK, 30 * MS);
        assertThat(proxy.sendCount(pay)).isEqualTo(1);
        assertThat(proxy.sendCount(read)).isZero();
    }

    @Test
    void requestsOfLeastWorthAreRefusedFirst() {
        proxy.fullList(backend("a"));
        for (int i = 0; i < 20; i++) {
            proxy.arrive(READ);
        }
        String pay = proxy.arrive(PAY);
        assertThat(proxy.hasAction(new Refuse(pay, 0))).isFalse();
        assertThat(proxy.hasAction(new Fail(pay))).isFalse();
    }

    /** Without a retry-after, refused clients come back at once, into the same overload. */
    @Test
    void refusalHasARetryAfterWithJitter() {
        long maxRetryAfterUs = 700 * MS;
        var harness = new PolicyHarness(PolicyHarness.settings(new Balancer.Limits(true, false, false, false, 4, maxRetryAfterUs), RULES));
        harness.fullList(backend("a"));
        for (int i = 0; i < 20; i++) {
            harness.arrive(READ);
        }
        var hints = harness.actions.stream().filter(a -> a instanceof Refuse).map(a -> ((Refuse) a).retryAfterUs()).toList();
        assertThat(hints).hasSizeGreaterThan(5).doesNotHaveDuplicates()
                .allSatisfy(hint -> assertThat(hint).isBetween(60 * MS, maxRetryAfterUs));
    }

    @Test
    void tenantOverItsShareYieldsToOthers() {
        var harness = new PolicyHarness(PolicyHarness.settings(LIMITS, RULES, new Tenant("greedy", 1), new Tenant("modest", 1000)));
        harness.fullList(backend("a"));
        harness.now += 10_000 * MS;
        var greedy = new ArrayList<String>();
        for (int i = 0; i < 60; i++) {
            greedy.add(harness.arrive(READ, "greedy"));
        }
        String modest = harness.arrive(READ, "modest");
        String first = greedy.stream().filter(id -> harness.sendCount(id) == 1).findFirst().orElseThrow();
        harness.endAttempt(first, Outcome.OK, 30 * MS);
        harness.endAttempt(greedy.stream().filter(id -> harness.sendCount(id) == 1).skip(1).findFirst().orElseThrow(), Outcome.OK, 30 * MS);
        assertThat(harness.sendCount(modest)).isEqualTo(1);
    }

    @Test
    void limitFollowsTheRateOfAnswers() {
        proxy.fullList(backend("a"), backend("b"));
        for (int round = 0; round < 600; round++) {
            proxy.now += 5 * MS;
            for (String id : List.of(proxy.arrive(READ), proxy.arrive(READ))) {
                if (proxy.sendCount(id) > 0) {
                    proxy.endAttempt(id, Outcome.OK, MS);
                }
            }
        }
        int before = proxy.actions.size();
        for (int i = 0; i < 100; i++) {
            proxy.arrive(READ);
        }
        long sent = proxy.actions.subList(before, proxy.actions.size()).stream().filter(a -> a instanceof Send).count();
        // 400 answers a second, and a fifth of the shortest aim (400 ms).
        assertThat(sent).isBetween(25L, 35L);
    }

    @Test
    void limitDoesNotKeepBackendsIdleIfResponsesTakeLongerThanTheTarget() {
        // One of three proxies, the other two gone. An answer takes 200 ms without a queue, more than a fifth of the shortest aim.
        var harness = new PolicyHarness(new Balancer.Settings(3, 0, "a", MS, List.of(READ, PolicyHarness.PAY), List.of(), 1, false,
                LIMITS, RULES, 1));
        harness.fullList(backend("a"), backend("b"), backend("c"));
        var inFlight = new java.util.ArrayDeque<String>();
        int seen = 0;
        int inLastSecond = 0;
        for (int step = 0; step < 3000; step++) {
            harness.now += 20 * MS;
            harness.arrive(READ);
            for (; seen < harness.actions.size(); seen++) {
                if (harness.actions.get(seen) instanceof Send s) {
                    inFlight.add(s.id() + " " + harness.now);
                    inLastSecond += step >= 2950 ? 1 : 0;
                }
            }
            while (!inFlight.isEmpty() && Long.parseLong(inFlight.peek().split(" ")[1]) + 200 * MS <= harness.now) {
                harness.endAttempt(inFlight.remove().split(" ")[0], Outcome.OK, 200 * MS);
            }
        }
        // Fifty requests arrived. With three at a time in flight, only fifteen would have been sent.
        assertThat(inLastSecond).isGreaterThan(45);
    }

    @Test
    void twelveProxiesTogetherSendNoMoreThanOne() {
        var alone = new PolicyHarness();
        var oneOfTwelve = oneOf(12);
        var backends = new Balancer.Backend[24];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = backend("s" + i);
        }
        assertThat(burst(oneOfTwelve, backends)).isBetween(1L, burst(alone, backends) / 6);
    }

    /** A cold backend takes few requests at once. Its part of the concurrency must not be added to that of the warm backends. */
    @Test
    void warmBackendsAreNotSentThePartOfColdOnes() {
        var some = new Balancer.Backend[24];
        var half = new Balancer.Backend[24];
        long now = new PolicyHarness().now;
        for (int i = 0; i < half.length; i++) {
            some[i] = backend("s" + i);
            half[i] = i % 2 == 0 ? backend("s" + i) : PolicyHarness.started("s" + i, now);
        }
        assertThat(burst(oneOf(6), half)).isBetween(burst(oneOf(6), some) / 2, burst(oneOf(6), some) * 3 / 4);
    }

    private static PolicyHarness oneOf(int proxies) {
        return new PolicyHarness(new Balancer.Settings(proxies, 0, "a", MS, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1));
    }

    @Test
    void stuckBackendGetsAttemptsOfAFewProxiesOnly() {
        var backends = new Balancer.Backend[24];
        var gathered = new java.util.HashMap<String, Integer>();
        for (int i = 0; i < backends.length; i++) {
            backends[i] = backend("s" + i, "std", i % 2 == 0 ? "a" : "b", 1);
        }
        for (int rank = 0; rank < 12; rank++) {
            var harness = new PolicyHarness(new Balancer.Settings(12, rank, "a", MS, List.of(READ), List.of(), 1, false, LIMITS, RULES,
                    rank));
            harness.fullList(backends);
            for (int i = 0; i < 6; i++) {
                gathered.merge(harness.lastSend(harness.arrive(READ)).backend(), 1, Integer::sum);
            }
        }
        assertThat(gathered).hasSize(24).allSatisfy((id, proxies) -> assertThat(proxies).isEqualTo(3));
    }

    @Test
    void queuedRequestIsRefusedOnceTooLittleTimeIsLeftToAnswerIt() {
        proxy.fullList(backend("a"));
        for (int i = 0; i < 3; i++) {
            proxy.arrive(READ);
        }
        String queued = proxy.arrive(READ);
        // The aim is 600 ms away, and an attempt may take 0.4 of the shortest aim of 400 ms.
        proxy.advance(439 * MS);
        assertThat(proxy.hasAction(new Balancer.Refuse(queued, 0))).isFalse();
        proxy.advance(1 * MS);
        assertThat(proxy.hasAction(new Balancer.Refuse(queued, 0))).isTrue();
    }

    @Test
    void repeatThatIsAlreadyLateIsNotSentUnderOverload() {
        proxy.fullList(backend("a"));
        var inFlight = new ArrayList<String>();
        for (int i = 0; i < 4; i++) {
            String id = "first" + i;
            proxy.feed(new Balancer.Arrival(id, "read", null, null, 1800 * MS, false, 0));
            inFlight.add(id);
        }
        assertThat(proxy.sendCount("first2")).isEqualTo(1);
        assertThat(proxy.sendCount("first3")).isZero();
        // 1.2 s of 2 s are left, so that the client began 0.8 s ago; the aim is 0.6 s.
        proxy.feed(new Balancer.Arrival("late", "read", null, null, 1200 * MS, true, 0));
        // As much time is left as for first tries, so that nothing is known of when the client began.
        proxy.feed(new Balancer.Arrival("again", "read", null, null, 1800 * MS, true, 0));
        assertThat(proxy.hasAction(new Balancer.Refuse("late", 0))).isTrue();
        proxy.endAttempt("first0", Outcome.OK, MS);
        proxy.endAttempt("first1", Outcome.OK, MS);
        assertThat(proxy.sendCount("again")).isEqualTo(1);
        // Without overload, a late repeat is still served.
        proxy.now += 100 * MS;
        proxy.endAttempt("first2", Outcome.OK, MS);
        proxy.endAttempt("first3", Outcome.OK, MS);
        proxy.endAttempt("again", Outcome.OK, MS);
        proxy.feed(new Balancer.Arrival("idle", "read", null, null, 1200 * MS, true, 0));
        assertThat(proxy.sendCount("idle")).isEqualTo(1);
    }

    @Test
    void freeBackendServesTheQueuedRequestWhoseKeyItHasInItsCache() {
        var harness = new PolicyHarness(new Balancer.Settings(3, 0, "a", MS, List.of(READ), List.of(), 1, true, LIMITS, RULES, 1));
        harness.fullList(backend("a"), backend("b"), backend("c"), backend("d"), backend("e"), backend("f"));
        String[] keys = new String[60];
        var serverByKey = new java.util.HashMap<String, String>();
        for (int i = 0; i < keys.length; i++) {
            keys[i] = "key" + i;
            harness.feed(new Balancer.Arrival("probe" + i, "read", null, keys[i], 2 * PolicyHarness.S, false, 0));
            serverByKey.put(keys[i], harness.lastSend("probe" + i).backend());
            harness.endAttempt("probe" + i, Outcome.OK, MS);
        }
        harness.now += 20 * PolicyHarness.S;
        var inFlight = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            inFlight.add(harness.arrive(READ));
        }
        String freed = harness.lastSend(inFlight.get(0)).backend();
        String other = java.util.Arrays.stream(keys).filter(key -> !serverByKey.get(key).equals(freed)).findFirst().orElseThrow();
        String fits = java.util.Arrays.stream(keys).filter(key -> serverByKey.get(key).equals(freed)).findFirst().orElseThrow();
        harness.feed(new Balancer.Arrival("other", "read", null, other, 2 * PolicyHarness.S, false, 0));
        harness.now += MS;
        harness.feed(new Balancer.Arrival("fits", "read", null, fits, 2 * PolicyHarness.S, false, 0));
        assertThat(harness.sendCount("other") + harness.sendCount("fits")).isZero();
        harness.endAttempt(inFlight.get(0), Outcome.OK, MS);
        assertThat(harness.sendCount("fits")).isEqualTo(1);
        assertThat(harness.sendCount("other")).isZero();
    }

    /** Returns one of 400 proxies at 60 backends: its part of the concurrency is 3 x 60 / 400, less than half an attempt. */
    private static PolicyHarness oneOfHundreds(int rank, Balancer.RequestClass... classes) {
        var all = classes.length == 0 ? List.of(READ) : List.of(classes);
        var harness = new PolicyHarness(new Balancer.Settings(400, rank, "a", MS, all, List.of(), 1, false, LIMITS, RULES, rank));
        harness.fullList(java.util.stream.IntStream.range(0, 60).mapToObj(i -> backend("s" + i)).toArray(Balancer.Backend[]::new));
        harness.advance(5 * PolicyHarness.S);
        return harness;
    }

    @Test
    void oneOfHundredsOfProxiesIsNotBlockedByASlowAttempt() {
        var harness = oneOfHundreds(0);
        harness.serve(READ, 20 * MS);
        harness.arrive(READ);
        harness.advance(300 * MS);
        assertThat(harness.sendCount(harness.arrive(READ))).isEqualTo(1);
    }

    @Test
    void oneOfHundredsOfProxiesKeepsToItsLimitAsAMeanOverTime() {
        var harness = oneOfHundreds(0);
        var sentAt = new java.util.HashMap<String, Long>();
        var ended = new java.util.HashSet<String>();
        for (int step = 0; step < 500; step++) {
            if (step % 5 == 0) {
                harness.arrive(READ);
            }
            harness.advance(50 * MS);
            harness.actions.stream().filter(a -> a instanceof Send).forEach(a -> sentAt.putIfAbsent(((Send) a).id(), harness.now));
            for (String id : List.copyOf(sentAt.keySet())) {
                if (harness.now - sentAt.get(id) >= 250 * MS && ended.add(id)) {
                    harness.endAttempt(id, Outcome.OK, 250 * MS);
                }
            }
        }
        // As a mean over 25 s, 2 to 4 x 60 / 400 attempts may be in flight, and what was saved up in a refresh period of 1.2 s.
        assertThat(sentAt.size()).isBetween(25 * 3 / 10 * 4, 27 * 6 / 10 * 4);
    }

    @Test
    void oneOfHundredsThatRefusesMuchSendsLess() {
        var unloaded = oneOfHundreds(0);
        var overloaded = oneOfHundreds(0);
        for (int i = 0; i < 100; i++) {
            overloaded.arrive(READ);
        }
        assertThat(countSends(overloaded)).isLessThan(countSends(unloaded));
    }

    /** Returns the number of sends in ten seconds, with a request every 400 ms that takes 400 ms. */
    private static long countSends(PolicyHarness harness) {
        harness.advance(10 * PolicyHarness.S);
        long before = harness.actions.stream().filter(a -> a instanceof Send).count();
        for (int i = 0; i < 25; i++) {
            String id = harness.arrive(READ);
            harness.advance(400 * MS);
            if (harness.sendCount(id) > 0) {
                harness.endAttempt(id, Outcome.ERROR, 400 * MS);
            }
        }
        return harness.actions.stream().filter(a -> a instanceof Send).count() - before;
    }

    @Test
    void hundredsOfProxiesTogetherSendAColdBackendItsPart() {
        int got = 0;
        for (int rank = 0; rank < 400; rank++) {
            var harness = oneOfHundreds(rank);
            for (int i = 0; i < 50; i++) {
                harness.serve(READ, 30 * MS);
                harness.advance(170 * MS);
            }
            long from = harness.now;
            harness.feed(new Balancer.ListUpdate(Balancer.ListKind.DELTA, List.of(PolicyHarness.started("new", from))));
            for (int i = 0; i < 25; i++) {
                got += harness.serve(READ, 30 * MS).equals("new") ? 1 : 0;
                harness.advance(170 * MS);
            }
        }
        // All proxies together send each of 60 backends 33 requests a second. In its first 5 s a new one bears 40% of that, and may get
        // up to 4 times as much.
        assertThat(got).isBetween(5 * 33 * 4 / 10 / 2, 5 * 33 * 4 / 10 * 3);
    }

    @Test
    void oneOfHundredsOverdrawsItsLimitForTheHighestWorth() {
        var lowWorth = oneOfHundreds(0, READ, PAY);
        var highWorth = oneOfHundreds(0, READ, PAY);
        for (var harness : List.of(lowWorth, highWorth)) {
            String slow = harness.arrive(READ);
            harness.advance(2 * PolicyHarness.S);
            harness.endAttempt(slow, Outcome.TIMEOUT, 2 * PolicyHarness.S);
        }
        assertThat(lowWorth.sendCount(lowWorth.arrive(READ))).isZero();
        assertThat(highWorth.sendCount(highWorth.arrive(PAY))).isEqualTo(1);
    }

    @Test
    void hundredsOfProxiesAreSpreadEvenlyAndFallBackToDifferentBackends() {
        var first = new java.util.HashMap<String, Integer>();
        var second = new java.util.HashMap<String, java.util.Set<String>>();
        for (int rank = 0; rank < 400; rank++) {
            var harness = oneOfHundreds(rank);
            harness.serve(READ, 20 * MS);
            String stuckAt = harness.lastSend(harness.arrive(READ)).backend();
            first.merge(stuckAt, 1, Integer::sum);
            harness.advance(300 * MS);
            second.computeIfAbsent(stuckAt, id -> new java.util.HashSet<>()).add(harness.lastSend(harness.arrive(READ)).backend());
        }
        assertThat(first).hasSize(60).allSatisfy((id, proxies) -> assertThat(proxies).isBetween(4, 9));
        assertThat(second).allSatisfy((id, next) -> assertThat(next).doesNotContain(id).hasSizeGreaterThan(3));
    }

    @Test
    void oneOfHundredsWaitsForABusyBackend() {
        var harness = oneOfHundreds(0);
        String preferred = harness.serve(READ, 20 * MS);
        String busy = harness.arrive(READ);
        harness.now += MS;
        String next = harness.arrive(READ);
        assertThat(harness.sendCount(next)).isZero();
        harness.endAttempt(busy, Outcome.OK, MS);
        assertThat(harness.lastSend(next).backend()).isEqualTo(preferred);
    }

    @Test
    void oneOfHundredsQueuesNoMoreThanItCanSoonSend() {
        var harness = oneOfHundreds(0);
        harness.arrive(READ);
        String queued = harness.arrive(READ);
        String tooMany = harness.arrive(READ);
        assertThat(harness.hasAction(new Balancer.Refuse(tooMany, 0))).isTrue();
        assertThat(harness.hasAction(new Balancer.Refuse(queued, 0))).isFalse();
    }

    @Test
    void oneOfHundredsTurnsToTheNextBackendInTimeForTheAim() {
        var harness = oneOfHundreds(0);
        for (int i = 0; i < 20; i++) {
            harness.serve(READ, 200 * MS);
            harness.advance(PolicyHarness.S);
        }
        String busy = harness.arrive(READ);
        harness.now += MS;
        String next = harness.arrive(READ);
        // The aim is 600 ms: 0.4 of that is 240 ms.
        harness.advance(230 * MS);
        assertThat(harness.sendCount(next)).isZero();
        harness.advance(50 * MS);
        assertThat(harness.lastSend(next).backend()).isNotEqualTo(harness.lastSend(busy).backend());
    }

    @Test
    void slowBackendIsAvoidedForAWhile() {
        var harness = oneOfHundreds(0);
        for (int i = 0; i < 300; i++) {
            harness.serve(READ, 20 * MS);
            harness.advance(100 * MS);
        }
        String slow = harness.serve(READ, 20 * MS);
        for (int i = 0; i < 40; i++) {
            String id = harness.arrive(READ);
            long latency = harness.lastSend(id).backend().equals(slow) ? 400 * MS : 20 * MS;
            harness.now += latency;
            harness.endAttempt(id, Outcome.OK, latency);
            harness.advance(200 * MS);
        }
        assertThat(harness.serve(READ, 20 * MS)).isNotEqualTo(slow);
        for (int i = 0; i < 30; i++) {
            harness.serve(READ, 20 * MS);
            harness.advance(2 * PolicyHarness.S);
        }
        assertThat(harness.serve(READ, 20 * MS)).as("its earlier answers are forgotten in time").isEqualTo(slow);
    }

    private static long burst(PolicyHarness harness, Balancer.Backend... backends) {
        harness.fullList(backends);
        for (int i = 0; i < 100; i++) {
            harness.arrive(READ);
        }
        return harness.actions.stream().filter(a -> a instanceof Send).count();
    }

    @Test
    void attemptTimesOutSoonAfterItsAimIfALateAnswerIsWorthNothing() {
        var harness = oneOfHundreds(0);
        String id = harness.arrive(READ);
        assertThat(harness.lastSend(id).timeoutUs()).isBetween(READ.aimUs(), READ.deadlineUs() * 2 / 3);
    }

    @Test
    void oneOfHundredsThatIsFarBusierUsesMoreThanOneBackend() {
        assertThat(backendsUsed(1)).isEqualTo(1);
        assertThat(backendsUsed(4)).isBetween(3L, 8L);
    }

    /** Returns how many backends a proxy uses that has {@code together} requests of 100 ms in flight, after its first 150 rounds. */
    private static long backendsUsed(int together) {
        var harness = oneOfHundreds(0);
        int before = 0;
        for (int i = 0; i < 200; i++) {
            before = i == 150 ? harness.actions.size() : before;
            var inFlight = new ArrayList<String>();
            for (int started = 0; started < together; started++) {
                inFlight.add(harness.arrive(READ));
            }
            harness.advance(100 * MS);
            inFlight.stream().filter(id -> harness.sendCount(id) > 0).forEach(id -> harness.endAttempt(id, Outcome.OK, 100 * MS));
            harness.advance(together == 1 ? 200 * MS : 0);
        }
        return harness.actions.subList(before, harness.actions.size()).stream().filter(a -> a instanceof Send)
                .map(a -> ((Send) a).backend()).distinct().count();
    }
}
