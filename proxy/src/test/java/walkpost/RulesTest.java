package walkpost;

import static walkpost.PolicyHarness.BOOK;
import static walkpost.PolicyHarness.LIMITS;
import static walkpost.PolicyHarness.MS;
import static walkpost.PolicyHarness.NOTE;
import static walkpost.PolicyHarness.PAY;
import static walkpost.PolicyHarness.READ;
import static walkpost.PolicyHarness.RULES;
import static walkpost.PolicyHarness.S;
import static walkpost.PolicyHarness.VOTE;
import static walkpost.PolicyHarness.backend;
import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Action;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Limits;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Refuse;
import walkpost.Balancer.Release;
import walkpost.Balancer.ResponseStreamStarted;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Watch;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The rules that a proxy must keep, one nested class for each. */
class RulesTest {
    private final PolicyHarness proxy = new PolicyHarness();

    @Nested
    class NoRequestIsLost {
        @Test
        void queuedRequestHasATimerAheadOfItsDeadlineAndIsThenRefused() {
            proxy.fullList(backend("a"));
            String queued = proxy.arrive(READ);
            while (proxy.sendCount(queued) > 0) {
                queued = proxy.arrive(READ);
            }
            SetTimer timer = (SetTimer) proxy.actions.get(proxy.actions.size() - 1);
            assertThat(timer.atUs()).isBetween(proxy.now + 1, proxy.now + READ.deadlineUs() - 1);
            proxy.advance(READ.aimUs());
            assertThat(proxy.actions).containsOnlyOnce(new Refuse(queued, 0));
        }

        @Test
        void requestIsRefusedAtOnceWithoutBackends() {
            proxy.fullList();
            String id = proxy.arrive(READ);
            assertThat(proxy.hasAction(new Refuse(id, 0))).isTrue();
        }

        @Test
        void timeoutAtTheDeadlineIsAnsweredAtOnceAndOnce() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(READ);
            proxy.now += READ.deadlineUs();
            assertThat(proxy.endAttempt(id, Outcome.TIMEOUT, READ.deadlineUs())).containsExactly(new Refuse(id, 0));
            assertThat(proxy.feed(new ClientGone(id))).isEmpty();
        }

        @Test
        void attemptTimesOutByTheClientsDeadline() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(VOTE);
            assertThat(proxy.lastSend(id).timeoutUs()).isBetween(1L, VOTE.deadlineUs());
        }

        @Test
        void clientThatLeavesCancelsItsAttempt() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(READ);
            assertThat(proxy.feed(new ClientGone(id))).containsExactly(new Cancel(id, 0));
            assertThat(proxy.endAttempt(id, Outcome.CANCELLED, MS)).isEmpty();
        }

        @Test
        void nothingIsCancelledIfTheLimitsForbidIt() {
            var harness = new PolicyHarness(PolicyHarness.settings(new Limits(false, false, false, false, 4, 0), RULES));
            harness.fullList(backend("a"));
            String id = harness.arrive(READ);
            assertThat(harness.feed(new ClientGone(id))).isEmpty();
        }

        @Test
        void eventsForUnknownRequestsAreIgnored() {
            proxy.fullList(backend("a"));
            assertThat(proxy.feed(new ClientGone("nobody"))).isEmpty();
            assertThat(proxy.feed(new Balancer.AttemptEnded("nobody", 0, "a", Outcome.OK, MS, true))).isEmpty();
            assertThat(proxy.feed(new ResponseStreamStarted("nobody", 0))).isEmpty();
            assertThat(proxy.feed(new Balancer.ProbeEnded("gone", Outcome.OK, MS))).isEmpty();
        }

        @Test
        void brokenResponseStreamHasNoFurtherAnswer() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(READ);
            proxy.feed(new ResponseStreamStarted(id, 0));
            assertThat(proxy.feed(new Balancer.AttemptEnded(id, 0, "a", Outcome.RESET, 3 * S, true))).isEmpty();
        }
    }

    @Nested
    class NoEffectHappensTwice {
        @Test
        void unsafeRequestThatMayHaveRunFails() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(VOTE);
            assertThat(proxy.endAttempt(id, Outcome.RESET, MS)).containsExactly(new Fail(id));
        }

        @Test
        void unsafeRequestThatNeverRanIsSentAgain() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(VOTE);
            String first = proxy.lastSend(id).backend();
            proxy.endAttempt(id, Outcome.CONNECT_FAILED, MS);
            assertThat(proxy.sendCount(id)).isEqualTo(2);
            assertThat(proxy.lastSend(id).backend()).isNotEqualTo(first);
        }

        @Test
        void unsafeRequestThatNeverRanMayBeRefused() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(VOTE);
            proxy.now += 700 * MS;
            assertThat(proxy.endAttempt(id, Outcome.FULL, MS)).containsExactly(new Refuse(id, 0));
        }

        @Test
        void keyedRequestThatMayHaveRunStaysInItsZone() {
            proxy.fullList(backend("a1", "std", "a", 1), backend("b1", "std", "b", 2), backend("b2", "std", "b", 3),
                    backend("a2", "std", "a", 4));
            for (int i = 0; i < 8; i++) {
                String id = proxy.arrive(PAY);
                String first = proxy.lastSend(id).backend();
                proxy.endAttempt(id, Outcome.RESET, MS);
                assertThat(proxy.sendCount(id)).isEqualTo(2);
                assertThat(proxy.lastSend(id).backend().charAt(0)).isEqualTo(first.charAt(0));
                proxy.endAttempt(id, Outcome.OK, MS);
            }
        }

        @Test
        void keyedRequestThatMayHaveRunStaysInItsCell() {
            proxy.fullList(backend("a", "std", "a", 1), backend("b", "std", "a", 2));
            String id = proxy.arrive(BOOK);
            String first = proxy.lastSend(id).backend();
            proxy.endAttempt(id, Outcome.RESET, MS);
            if (proxy.sendCount(id) > 1) {
                assertThat(proxy.lastSend(id).backend()).isEqualTo(first);
            } else {
                assertThat(proxy.hasAction(new Fail(id))).isTrue();
            }
        }

        @Test
        void keyedRequestIsNotSentAgainAfterItsWindow() {
            var shortWindow = new Balancer.RequestClass("pay", 600 * MS, 2 * S, 10, 0, Balancer.Effect.KEYED,
                    Balancer.Scope.ZONE, 100 * MS);
            var harness = new PolicyHarness(new Balancer.Settings(1, 0, "a", MS, List.of(shortWindow), List.of(), 1, false, LIMITS, RULES,
                    1));
            harness.fullList(backend("a"), backend("b"));
            String id = harness.arrive(shortWindow);
            harness.now += 100 * MS;
            assertThat(harness.endAttempt(id, Outcome.RESET, 100 * MS)).contains(new Fail(id));
            assertThat(harness.sendCount(id)).isEqualTo(1);
        }

        /** A connection may come up late, so that the attempt has a time after which it may not be written. */
        @Test
        void keyedRequestIsNotWrittenAfterItsWindow() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(PAY);
            assertThat(proxy.lastSend(id).sendByUs()).isEqualTo(Long.MAX_VALUE);
            long end = proxy.now + PAY.windowUs();
            proxy.now += 20 * MS;
            proxy.endAttempt(id, Outcome.RESET, 20 * MS);
            assertThat(proxy.lastSend(id).sendByUs()).isEqualTo(end);
        }

        @Test
        void keyedRequestOfAZoneThatMayHaveRunFailsAndIsNotRefused() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(PAY);
            proxy.now += PAY.deadlineUs();
            assertThat(proxy.endAttempt(id, Outcome.TIMEOUT, PAY.deadlineUs())).containsExactly(new Fail(id));
        }

        @Test
        void keyedRequestOfAllBackendsMayBeRefused() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(NOTE);
            proxy.now += NOTE.deadlineUs();
            assertThat(proxy.endAttempt(id, Outcome.TIMEOUT, NOTE.deadlineUs())).containsExactly(new Refuse(id, 0));
        }

        @Test
        void requestHasNoMoreThanTheMaximumOfAttempts() {
            proxy.fullList(backend("a"), backend("b"), backend("c"), backend("d"), backend("e"), backend("f"));
            String id = proxy.arrive(READ);
            for (int i = 1; i < LIMITS.maxAttempts(); i++) {
                proxy.endAttempt(id, Outcome.FULL, MS);
                assertThat(proxy.sendCount(id)).isEqualTo(i + 1);
            }
            assertThat(proxy.endAttempt(id, Outcome.FULL, MS)).containsExactly(new Refuse(id, 0));
        }
    }

    @Nested
    class FullMayHaveRunIfTheRulesSaySo {
        private final PolicyHarness fullMayHaveRunProxy =
                new PolicyHarness(PolicyHarness.settings(LIMITS, new Rules(0.4, 8 * S, 4, S, 10 * S, true)));

        @Test
        void unsafeRequestIsNeitherSentAgainNorRefused() {
            fullMayHaveRunProxy.fullList(backend("a"), backend("b"));
            String id = fullMayHaveRunProxy.arrive(VOTE);
            assertThat(fullMayHaveRunProxy.endAttempt(id, Outcome.FULL, MS)).containsExactly(new Fail(id));
        }

        @Test
        void keyedRequestIsSentAgainWithinItsScope() {
            fullMayHaveRunProxy.fullList(backend("a", "std", "a", 1), backend("b", "std", "b", 2), backend("c", "std", "a", 3));
            String id = fullMayHaveRunProxy.arrive(PAY);
            fullMayHaveRunProxy.endAttempt(id, Outcome.FULL, MS);
            assertThat(fullMayHaveRunProxy.sendCount(id)).isEqualTo(2);
            assertThat(fullMayHaveRunProxy.lastSend(id).backend()).isIn("a", "c");
        }

        @Test
        void keyedRequestFailsOnceItsWindowHasEnded() {
            fullMayHaveRunProxy.fullList(backend("a"));
            String id = fullMayHaveRunProxy.arrive(PAY);
            fullMayHaveRunProxy.now += PAY.windowUs();
            assertThat(fullMayHaveRunProxy.endAttempt(id, Outcome.FULL, MS)).containsExactly(new Fail(id));
        }

        @Test
        void keyedRequestOfAllBackendsIsStillRefused() {
            fullMayHaveRunProxy.fullList(backend("a"));
            String id = fullMayHaveRunProxy.arrive(NOTE);
            fullMayHaveRunProxy.now += NOTE.aimUs();
            assertThat(fullMayHaveRunProxy.endAttempt(id, Outcome.FULL, MS)).containsExactly(new Refuse(id, 0));
        }
    }

    @Nested
    class IdleConnectionsAreReleasedOnDrains {
        @Test
        void idleConnectionsAreReleasedAtTheDrainAndAgainAfterTheLastAttempt() {
            proxy.fullList(backend("a"));
            String id = proxy.arrive(VOTE);
            assertThat(proxy.feed(new ListUpdate(ListKind.DELTA, List.of(PolicyHarness.inState(BackendState.DRAINING, "a")))))
                    .containsExactly(new Release("a"));
            assertThat(proxy.endAttempt(id, Outcome.OK, MS)).containsExactly(new Release("a"));
        }

        @Test
        void connectionOfACancelledAttemptIsReleased() {
            proxy.fullList(backend("a"), backend("b"));
            String id = proxy.arrive(READ);
            String to = proxy.lastSend(id).backend();
            proxy.feed(new ClientGone(id));
            proxy.feed(new ListUpdate(ListKind.DELTA, List.of(PolicyHarness.inState(BackendState.DRAINING, to))));
            assertThat(proxy.endAttempt(id, Outcome.CANCELLED, MS)).containsExactly(new Release(to));
        }

        @Test
        void connectionsToBackendsMissingFromAFullListAreReleased() {
            proxy.fullList(backend("a"), backend("b"));
            proxy.actions.clear();
            proxy.fullList(backend("b"));
            assertThat(proxy.actions).containsExactly(new Release("a"));
        }
    }

    @Nested
    class DrainingBackendsGetNoRequests {
        @Test
        void drainingOrGoneBackendGetsNoRequests() {
            proxy.fullList(backend("a"), backend("b"), backend("c"));
            proxy.feed(new ListUpdate(ListKind.DELTA,
                    List.of(PolicyHarness.inState(BackendState.DRAINING, "a"), PolicyHarness.inState(BackendState.GONE, "b"))));
            for (int i = 0; i < 10; i++) {
                assertThat(proxy.serve(READ, MS)).isEqualTo("c");
            }
        }

        @Test
        void backendMissingFromAFullListGetsNoRequests() {
            proxy.fullList(backend("a"), backend("b"));
            proxy.fullList(backend("b"));
            for (int i = 0; i < 5; i++) {
                assertThat(proxy.serve(READ, MS)).isEqualTo("b");
            }
        }

        @Test
        void nothingIsSentIfAllBackendsDrain() {
            proxy.fullList(backend("a"));
            proxy.fullList(PolicyHarness.inState(BackendState.DRAINING, "a"));
            String id = proxy.arrive(READ);
            assertThat(proxy.sendCount(id)).isZero();
        }

        @Test
        void drainedBackendMayComeBack() {
            proxy.fullList(PolicyHarness.inState(BackendState.DRAINING, "a"));
            proxy.feed(new ListUpdate(ListKind.DELTA, List.of(backend("a"))));
            assertThat(proxy.serve(READ, MS)).isEqualTo("a");
        }

        @Test
        void backendThatDrainsAndComesBackInOneUpdateIsUsedOnce() {
            proxy.fullList(backend("a"), backend("b"));
            proxy.feed(new ListUpdate(ListKind.DELTA, List.of(PolicyHarness.inState(BackendState.DRAINING, "a"), backend("a"))));
            int toA = 0;
            for (int i = 0; i < 12; i++) {
                toA += proxy.serve(READ, MS).equals("a") ? 1 : 0;
            }
            assertThat(toA).isEqualTo(6);
        }

        @Test
        void listOnRequestIsRequestedAtOnceAndAgainAfterAFailure() {
            var harness = new PolicyHarness(PolicyHarness.settings(new Limits(true, false, false, true, 4, 0), RULES));
            assertThat(harness.feed(new ListUpdate(ListKind.CACHED, List.of(backend("a"))))).contains(new Watch(true));
            List<Action> after = harness.feed(new ListUpdate(ListKind.FAILED, List.of()));
            SetTimer timer = (SetTimer) after.get(0);
            assertThat(timer.atUs()).isBetween(harness.now + 1, harness.now + RULES.requestListWithinUs());
            assertThat(harness.serve(READ, MS)).as("the previous list stays in use").isEqualTo("a");
            harness.now = timer.atUs();
            assertThat(harness.fireTimer(timer.token())).contains(new Watch(true));
        }

        @Test
        void backOffIsShorterBeforeADeadlineForTheListHoweverManyCallsHaveFailed() {
            var harness = new PolicyHarness(PolicyHarness.settings(new Limits(true, false, false, true, 4, 0), RULES));
            for (int failed = 0; failed < 9; failed++) {
                harness.feed(new ListUpdate(ListKind.FAILED, List.of()));
            }
            harness.feed(new Balancer.ListDeadline(harness.now + S));
            SetTimer timer = (SetTimer) harness.feed(new ListUpdate(ListKind.FAILED, List.of())).get(0);
            assertThat(timer.atUs()).isLessThanOrEqualTo(harness.now + S / 2);
            harness.now += 2 * S;
            timer = (SetTimer) harness.feed(new ListUpdate(ListKind.FAILED, List.of())).get(0);
            assertThat(timer.atUs()).as("after the deadline").isGreaterThan(harness.now + S / 2);
        }

        @Test
        void proxiesDoNotRepeatFailedListCallsInStep() {
            var harness = new PolicyHarness(PolicyHarness.settings(new Limits(true, false, false, true, 4, 0), RULES));
            var other = new PolicyHarness(new Balancer.Settings(1, 0, "a", MS, List.of(READ), List.of(), 1, false,
                    new Limits(true, false, false, true, 4, 0), RULES, 8));
            assertThat(harness.feed(new ListUpdate(ListKind.FAILED, List.of())))
                    .doesNotContainAnyElementsOf(other.feed(new ListUpdate(ListKind.FAILED, List.of())).stream()
                            .filter(a -> a instanceof SetTimer t && t.atUs() != other.now + RULES.requestListWithinUs()).toList());
        }
    }

    @Nested
    class ColdBackendIsNotOverloaded {
        /** The allowance for one second: a backend with 50 ms a request, at 40% of its capacity or a bit more, times the fall multiple. */
        private static final int MAX_SENDS = 36;
        private int sent;

        @Test
        void coldBackendGetsNoMoreThanItsAllowanceEvenIfItIsTheOnlyOne() {
            proxy.fullList(backend("warm"));
            for (int i = 0; i < 300; i++) {
                proxy.serve(READ, 50 * MS);
            }
            assertThat(sentInOneSecond(Outcome.OK)).isBetween(5, MAX_SENDS);
        }

        @Test
        void retriesCountAgainstTheAllowance() {
            proxy.fullList(backend("warm"));
            for (int i = 0; i < 300; i++) {
                proxy.serve(READ, 50 * MS);
            }
            assertThat(sentInOneSecond(Outcome.FULL)).isBetween(5, MAX_SENDS);
        }

        private int sentInOneSecond(Outcome outcome) {
            proxy.fullList(PolicyHarness.started("cold", proxy.now));
            int before = proxy.actions.size();
            for (int i = 0; i < 1000; i++) {
                proxy.now += MS;
                proxy.arrive(READ);
                for (; before < proxy.actions.size(); before++) {
                    if (proxy.actions.get(before) instanceof Send s) {
                        sent++;
                        proxy.endAttempt(s.id(), outcome, MS);
                    }
                }
            }
            return sent;
        }

        @Test
        void oneOfManyProxiesSendsAColdBackendItsPart() {
            var harness = new PolicyHarness(new Balancer.Settings(9, 3, "a", MS, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1));
            var backends = new Balancer.Backend[4];
            for (int i = 0; i < 4; i++) {
                backends[i] = backend("s" + i);
            }
            harness.fullList(backends);
            for (int i = 0; i < 3000; i++) {
                harness.serve(READ, 10 * MS);
            }
            backends[3] = PolicyHarness.started("s3", harness.now);
            harness.fullList(backends);
            int toCold = 0;
            for (int i = 0; i < 200; i++) {
                toCold += harness.serve(READ, 10 * MS).equals("s3") ? 1 : 0;
            }
            // A warm backend of its weight serves 25 requests a second for this proxy. The allowance for two seconds, at 40% to 55% of the
            // capacity, is 0.4 of 4 times that.
            assertThat(toCold).isBetween(15, 44);
        }

        @Test
        void restartedBackendIsCold() {
            proxy.fullList(backend("a"));
            for (int i = 0; i < 100; i++) {
                proxy.serve(READ, 50 * MS);
            }
            proxy.fullList(PolicyHarness.started("a", proxy.now));
            long sent = 0;
            for (int i = 0; i < 100; i++) {
                String id = proxy.arrive(READ);
                sent += proxy.sendCount(id);
                if (proxy.sendCount(id) > 0) {
                    proxy.endAttempt(id, Outcome.OK, MS);
                }
            }
            assertThat(sent).isLessThan(20);
        }

        @Test
        void backendIsWarmAfterTheColdTime() {
            proxy.fullList(PolicyHarness.started("a", proxy.now - RULES.coldUs()));
            for (int i = 0; i < 100; i++) {
                assertThat(proxy.serve(READ, 0)).isEqualTo("a");
            }
            assertThat(proxy.actions.stream().filter(a -> a instanceof Send)).hasSize(100);
        }
    }
}
