package walkpost;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Action;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Event;
import walkpost.Balancer.Excluded;
import walkpost.Balancer.Included;
import walkpost.Balancer.Limits;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.RequestClass;
import walkpost.Balancer.RequestStreamEnded;
import walkpost.Balancer.RequestStreamStarted;
import walkpost.Balancer.ResponseStreamStarted;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Settings;
import walkpost.Balancer.SettingsChanged;
import walkpost.Balancer.Tenant;
import walkpost.Balancer.TimerFired;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of a decision: compares the hash of all actions of a few seeded runs, in their order, with recorded
 * figures. The figures date from before idle flows were no longer stored. A change that alters a decision on purpose records new figures
 * and says so; a change that only moves code leaves them as they are. The hash covers the names of the action records and of their
 * components.
 */
class DecisionTraceTest {
    private static final List<RequestClass> CLASSES =
            List.of(PolicyHarness.READ, PolicyHarness.PAY, PolicyHarness.BOOK, PolicyHarness.NOTE, PolicyHarness.VOTE);
    private static final Outcome[] FAILURES = {Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET,
        Outcome.CONNECT_FAILED, Outcome.NOT_SENT};

    private record Due(long at, long order, Event event) { }

    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Map<String, Integer> sends = new HashMap<>();
    private final Map<String, Backend> listed = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private Random random;
    private Settings settings;
    private Policy policy;
    private long now;
    private long order;
    private long hash;
    private int actions;
    private int sent;
    private boolean failurePeriod;

    @ParameterizedTest
    @CsvSource({
        // seed, proxies, servers, tenants, requests; hash of the actions, number of actions, number of sends
        "1, 1, 6, 3, 6000, 7114761121612679246, 7310, 2066",
        "2, 3, 20, 40, 6000, 1139418182771115462, 6856, 5782",
        "3, 20, 12, 40, 6000, -4060887501799036012, 7214, 919",
        "4, 30, 150, 200, 6000, -1290421389615334926, 6529, 6247",
        "5, 590, 300, 400, 3000, -38729578624472848, 3658, 1289",
    })
    void actionsAreAsRecorded(long seed, int proxies, int servers, int tenants, int requests, long expectedHash,
            int expectedActions, int expectedSends) {
        runTraffic(seed, proxies, servers, tenants, requests);
        assertThat(List.of(hash, (long) actions, (long) sent)).as("hash of the actions, number of actions, number of sends")
                .isEqualTo(List.of(expectedHash, (long) expectedActions, (long) expectedSends));
    }

    private void runTraffic(long seed, int proxies, int servers, int tenants, int requests) {
        random = new Random(seed);
        settings = settings(proxies, tenants, seed);
        policy = new Policy(settings);
        now = 1000 * PolicyHarness.S;
        for (int i = 0; i < servers; i++) {
            list("s" + i, BackendState.READY, random.nextInt(4) == 0 ? now - random.nextInt(8_000_000) : 0);
        }
        names.addAll(listed.keySet().stream().sorted().toList());
        feed(new ListUpdate(ListKind.FULL, allListed()));
        for (int i = 0; i < requests; i++) {
            now += random.nextInt(10) == 0 ? random.nextInt(200_000) : random.nextInt(6_000);
            advanceTo(now);
            failurePeriod = i / 500 % 3 == 1;
            if (random.nextInt(60) == 0) {
                changeListOrSettings(proxies, tenants, seed);
            }
            arrive("r" + i, tenants);
        }
        advanceTo(now + 60 * PolicyHarness.S);
    }

    private Settings settings(int proxies, int tenants, long seed) {
        var shares = new ArrayList<Tenant>();
        for (int i = 0; i < tenants; i++) {
            shares.add(new Tenant("t" + i, proxies * (0.5 + random.nextInt(20))));
        }
        return new Settings(proxies, proxies / 3, "a", 4 * PolicyHarness.MS, CLASSES, shares, 0.05, true,
                new Limits(true, false, false, true, 3, PolicyHarness.S),
                new Rules(0.2, 20 * PolicyHarness.S, 3, PolicyHarness.S, 10 * PolicyHarness.S, seed % 2 == 0), seed);
    }

    /** Applies one random change of the list, of the settings or by the operators. */
    private void changeListOrSettings(int proxies, int tenants, long seed) {
        String name = names.get(random.nextInt(names.size()));
        switch (random.nextInt(7)) {
            case 0 -> feed(new ListUpdate(ListKind.FULL, allListed()));
            case 1 -> feed(new ListUpdate(ListKind.DELTA, List.of(list(name, BackendState.DRAINING, listed.get(name).startedAtUs()))));
            case 2 -> feed(new ListUpdate(ListKind.DELTA, List.of(list(name, BackendState.READY, now))));
            case 3 -> feed(new ListUpdate(ListKind.FAILED, List.of()));
            case 4 -> feed(new SettingsChanged(settings(proxies, 1 + random.nextInt(tenants), seed)));
            case 5 -> feed(new Excluded(name));
            default -> names.forEach(each -> feed(new Included(each)));
        }
    }

    private Backend list(String name, BackendState state, long startedAt) {
        var backend = new Backend(name, state, name.hashCode() % 3 == 0 ? "big" : "std", name.hashCode() % 2 == 0 ? "a" : "b",
                name.hashCode() % 5, startedAt, 1 + name.hashCode() % 3);
        listed.put(name, backend);
        return backend;
    }

    private List<Backend> allListed() {
        return listed.values().stream().sorted(Comparator.comparing(Backend::id)).toList();
    }

    private void arrive(String id, int tenants) {
        RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        String tenant = random.nextInt(10) == 0 ? null : "t" + random.nextInt(tenants);
        String key = random.nextInt(3) == 0 ? "k" + random.nextInt(50) : null;
        boolean repeat = random.nextInt(8) == 0;
        long left = repeat ? requestClass.deadlineUs() / 2 : requestClass.deadlineUs();
        feed(new Arrival(id, requestClass.name(), tenant, key, left, repeat, random.nextInt(2) * (1_000L + random.nextInt(60_000))));
        if (random.nextInt(100) == 0) {
            schedule(random.nextInt(500_000), new ClientGone(id));
        }
    }

    private void schedule(long inUs, Event event) {
        due.add(new Due(now + inUs, order++, event));
    }

    private void advanceTo(long end) {
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            feed(next.event());
        }
        now = end;
    }

    private void feed(Event event) {
        var resulting = new ArrayList<Action>();
        policy.handle(now, event, resulting::add);
        for (Action action : resulting) {
            actions++;
            hash = hash * 0x100000001b3L + action.toString().hashCode();
            if (action instanceof Send send) {
                runAttempt(send);
            } else if (action instanceof SetTimer timer) {
                due.add(new Due(timer.atUs(), order++, new TimerFired(timer.token())));
            } else if (action instanceof Cancel cancel) {
                schedule(0, new AttemptEnded(cancel.id(), cancel.attempt(), "", Outcome.CANCELLED, 0, true));
            }
        }
    }

    /**
     * Schedules the events of an attempt. A third of the servers are slow. In a failure period, half of the attempts fail for a quarter of
     * the pairs of server and request.
     */
    private void runAttempt(Send send) {
        sent++;
        int number = sends.merge(send.id(), 1, Integer::sum) - 1;
        long tookUs = (send.backend().hashCode() % 3 == 0 ? 40_000 : 8_000) + random.nextInt(20_000);
        boolean fails = random.nextInt(failurePeriod && (send.backend().hashCode() + send.id().hashCode()) % 4 == 0 ? 2 : 50) == 0;
        Outcome outcome = fails ? FAILURES[random.nextInt(FAILURES.length)] : Outcome.OK;
        if (outcome == Outcome.TIMEOUT) {
            tookUs = send.timeoutUs();
        }
        int bodyStyle = random.nextInt(12);
        if (bodyStyle == 0) {
            schedule(500, new RequestStreamStarted(send.id(), number));
            schedule(2_000, new RequestStreamEnded(send.id(), number, 400_000));
        } else if (bodyStyle == 1 && outcome == Outcome.OK) {
            schedule(tookUs / 2, new ResponseStreamStarted(send.id(), number));
        }
        schedule(tookUs, new AttemptEnded(send.id(), number, send.backend(), outcome, tookUs, outcome == Outcome.OK));
    }
}
