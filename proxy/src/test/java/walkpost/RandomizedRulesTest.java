package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Effect;
import walkpost.Balancer.Event;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Limits;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Refuse;
import walkpost.Balancer.RequestClass;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Scope;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Settings;
import walkpost.Balancer.Tenant;
import walkpost.Balancer.TimerFired;
import walkpost.Balancer.Watch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the rules in seeded runs of random valid events, with a model of its own that records requests, attempts and the list. */
class RandomizedRulesTest {
    private static final long TICK_US = 4_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void rulesHoldForRandomEvents(long seed) {
        var model = new Model(seed);
        model.run();
        assertThat(model.finalAnswers).isEqualTo(model.arrived);
        // Enough attempts for the run to test something. How many are sent is up to the policy.
        assertThat(model.attemptsSent).isGreaterThan(30);
    }

    private record Due(long at, long order, Event event) { }

    private static final class SentAttempt {
        private final String backend;
        private final Backend sentTo;
        private final long sentAt;
        private Outcome outcome;

        SentAttempt(Backend sentTo, long sentAt) {
            this.backend = sentTo.id();
            this.sentTo = sentTo;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun(Rules rules) {
            return outcome == null || !outcome.neverRan() || outcome == Outcome.FULL && rules.fullMayHaveRun();
        }
    }

    private static final class OpenRequest {
        private final RequestClass requestClass;
        private final long deadline;
        private final List<SentAttempt> attempts = new ArrayList<>();
        private boolean finished;

        OpenRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }
    }

    private static final class Model {
        private final Random random;
        private final Settings settings;
        private final Policy policy;
        private final Map<String, OpenRequest> requests = new HashMap<>();
        private final Map<String, Backend> listed = new LinkedHashMap<>();
        private final Map<String, List<Long>> coldSends = new HashMap<>();
        private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> a.at() != b.at()
                ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
        private long now = 5_000_000_000L;
        private long order;
        private int arrived;
        private int finalAnswers;
        private int attemptsSent;

        Model(long seed) {
            random = new Random(seed);
            var classes = new ArrayList<RequestClass>();
            for (Effect effect : Effect.values()) {
                for (Scope scope : Scope.values()) {
                    classes.add(new RequestClass(effect + "-" + scope, 150_000 + random.nextInt(500_000),
                            700_000 + random.nextInt(2_000_000), 1 + random.nextInt(9), random.nextInt(3) / 4.0, effect,
                            scope, 100_000 + random.nextInt(1_000_000)));
                }
            }
            settings = new Settings(1 + random.nextInt(4), 0, "a", TICK_US, classes, random.nextBoolean() ? List.of()
                    : List.of(new Tenant("t", 50)), 0.1, false,
                    new Limits(random.nextBoolean(), random.nextBoolean(), random.nextBoolean(), random.nextBoolean(),
                            1 + random.nextInt(5), 1_000_000),
                    new Rules(0.3, 8_000_000, 3, 1_000_000 + random.nextInt(2_000_000), 10_000_000,
                            random.nextBoolean()), seed);
            policy = new Policy(settings);
        }

        void run() {
            for (int i = 0; i < 6; i++) {
                Backend backend = backend("s" + i, BackendState.READY, 0);
                listed.put(backend.id(), backend);
            }
            feed(new ListUpdate(ListKind.CACHED, List.copyOf(listed.values())));
            long end = now + 20_000_000;
            while (now < end + 5_000_000) {
                now += TICK_US;
                while (!due.isEmpty() && due.peek().at() <= now) {
                    deliver(due.poll().event());
                }
                if (now < end) {
                    generateEvents();
                }
                for (OpenRequest request : requests.values()) {
                    assertThat(request.finished || now <= request.deadline + 3 * TICK_US).as("answered before the client leaves").isTrue();
                }
                requests.values().removeIf(request -> request.finished
                        && request.attempts.stream().allMatch(attempt -> attempt.outcome != null));
            }
        }

        private void generateEvents() {
            int arrivals = random.nextInt(100) < 30 ? random.nextInt(4) : 0;
            for (int i = 0; i < arrivals; i++) {
                RequestClass requestClass = settings.classes().get(random.nextInt(settings.classes().size()));
                long left = (long) (requestClass.deadlineUs() * (0.2 + 0.8 * random.nextDouble()));
                String id = "q" + arrived++;
                requests.put(id, new OpenRequest(requestClass, now + left));
                feed(new Arrival(id, requestClass.name(), random.nextBoolean() ? "t" : null, null, left, random.nextInt(5) == 0, 0));
            }
            if (random.nextInt(200) == 0) {
                String id = "s" + random.nextInt(8);
                BackendState state = BackendState.values()[random.nextInt(3)];
                Backend backend = backend(id, state, random.nextInt(3) == 0 ? now - random.nextInt(3_000_000) : 0);
                listed.put(id, backend);
                feed(new ListUpdate(ListKind.DELTA, List.of(backend)));
            }
            if (random.nextInt(1500) == 0) {
                listed.clear();
                feed(new ListUpdate(ListKind.FULL, List.of()));
            }
            if (random.nextInt(300) == 0) {
                feed(new ListUpdate(ListKind.FAILED, List.of()));
            }
        }

        private Backend backend(String id, BackendState state, long startedAt) {
            return new Backend(id, state, "k" + random.nextInt(2), random.nextBoolean() ? "a" : "b", random.nextInt(3),
                    startedAt, 1);
        }

        private void deliver(Event event) {
            if (event instanceof AttemptEnded e) {
                OpenRequest request = requests.get(e.id());
                if (request == null || request.attempts.get(e.attempt()).outcome != null) {
                    return;
                }
                SentAttempt attempt = request.attempts.get(e.attempt());
                attempt.outcome = e.outcome();
                boolean closes = e.outcome() == Outcome.OK && !request.finished;
                if (closes) {
                    request.finished = true;
                    finalAnswers++;
                }
                feed(new AttemptEnded(e.id(), e.attempt(), e.backend(), e.outcome(), e.latencyUs(), request.finished));
            } else if (event instanceof ClientGone e) {
                OpenRequest request = requests.get(e.id());
                if (request != null && !request.finished) {
                    request.finished = true;
                    finalAnswers++;
                    feed(event);
                }
            } else {
                feed(event);
            }
        }

        private void feed(Event event) {
            policy.handle(now, event, action -> {
                if (action instanceof Send a) {
                    checkAndRunAttempt(a);
                } else if (action instanceof Refuse a) {
                    checkRefusal(a.id());
                } else if (action instanceof Fail a) {
                    finalAnswer(a.id());
                } else if (action instanceof Cancel a) {
                    assertThat(settings.limits().cancel()).isTrue();
                    SentAttempt attempt = requests.get(a.id()).attempts.get(a.attempt());
                    due.add(new Due(now + TICK_US, order++,
                            new AttemptEnded(a.id(), a.attempt(), attempt.backend, Outcome.CANCELLED, now - attempt.sentAt, true)));
                } else if (action instanceof SetTimer a) {
                    due.add(new Due(Math.max(a.atUs(), now + 1), order++, new TimerFired(a.token())));
                } else if (action instanceof Watch) {
                    assertThat(settings.limits().listOnRequest()).isTrue();
                }
            });
        }

        private void finalAnswer(String id) {
            OpenRequest request = requests.get(id);
            assertThat(request.finished).as("one final answer").isFalse();
            request.finished = true;
            finalAnswers++;
        }

        private void checkRefusal(String id) {
            OpenRequest request = requests.get(id);
            for (SentAttempt attempt : request.attempts) {
                if (attempt.mayHaveRun(settings.rules())) {
                    assertThat(request.requestClass.effect()).isNotEqualTo(Effect.UNSAFE);
                    assertThat(request.requestClass.effect() == Effect.SAFE || request.requestClass.scope() == Scope.ALL).isTrue();
                }
            }
            finalAnswer(id);
        }

        private void checkAndRunAttempt(Send send) {
            OpenRequest request = requests.get(send.id());
            Backend to = listed.get(send.backend());
            attemptsSent++;
            assertThat(request.finished).as("nothing after the final answer").isFalse();
            assertThat(to).as("a backend on the list").isNotNull();
            assertThat(to.state()).isEqualTo(BackendState.READY);
            assertThat(request.attempts.size()).isLessThan(settings.limits().maxAttempts());
            assertThat(send.timeoutUs()).isPositive();
            assertThat(now + send.timeoutUs()).isLessThanOrEqualTo(request.deadline);
            for (SentAttempt attempt : request.attempts) {
                assertThat(settings.limits().hedging() || attempt.outcome != null).isTrue();
                if (attempt.mayHaveRun(settings.rules()) && request.requestClass.effect() != Effect.SAFE) {
                    assertThat(request.requestClass.effect()).isEqualTo(Effect.KEYED);
                    assertThat(now).isLessThan(attempt.sentAt + request.requestClass.windowUs());
                    assertThat(switch (request.requestClass.scope()) {
                        case ALL -> true;
                        case ZONE -> attempt.sentTo.zone().equals(to.zone());
                        case CELL -> attempt.sentTo.cell() == to.cell();
                    }).isTrue();
                }
            }
            checkSlowStart(to);
            request.attempts.add(new SentAttempt(to, now));
            int attemptNumber = request.attempts.size() - 1;
            Outcome outcome = random.nextInt(10) < 6 ? Outcome.OK
                    : List.of(Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
                            .get(random.nextInt(5));
            long latency = outcome == Outcome.TIMEOUT ? send.timeoutUs()
                    : Math.min(send.timeoutUs() - 1, 1_000 + random.nextInt(60_000));
            due.add(new Due(now + latency, order++, new AttemptEnded(send.id(), attemptNumber, to.id(), outcome, latency, false)));
            if (attemptNumber == 0 && random.nextInt(50) == 0) {
                due.add(new Due(now + random.nextInt(100_000), order++, new ClientGone(send.id())));
            }
        }

        /**
         * Checks that one instance keeps to a cold backend's allowance. A response takes over 25 ms in the mean, so that a warm backend
         * serves less than 40 requests a second.
         */
        private void checkSlowStart(Backend to) {
            Rules rules = settings.rules();
            if (to.startedAtUs() == 0 || now - to.startedAtUs() >= rules.coldUs()) {
                return;
            }
            List<Long> sends = coldSends.computeIfAbsent(to.id() + "@" + to.startedAtUs(), key -> new ArrayList<>());
            sends.add(now);
            long inWindow = sends.stream().filter(at -> at > now - rules.fallUs()).count();
            double warmth = rules.coldFrom() + (1 - rules.coldFrom()) * (now - to.startedAtUs()) / rules.coldUs();
            double allowed = rules.fallMultiple() * warmth * 40 * rules.fallUs() / 1e6 / settings.balancers();
            assertThat((double) inWindow).as("slow start allowance").isLessThanOrEqualTo(Math.max(2, allowed));
        }
    }
}
