package walkpost.slope;

import walkpost.Balancer.Action;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.BackendState;
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
import walkpost.Policy;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Drives the module of one proxy of 590 in virtual time: each attempt is answered after 20 ms. Single-threaded; times in microseconds. */
final class ModuleDrive {
    private record Due(long at, long order, Event event) { }

    static final int PROXIES = 590;
    /** Microseconds in a second. */
    static final long S = 1_000_000;
    static final long ANSWER_US = 20_000;

    private final Settings settings;
    private final Policy policy;
    long now = 1_000 * S;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Map<String, Integer> attempts = new HashMap<>();
    private Consumer<Send> onSend = send -> { };
    private Outcome answer = Outcome.OK;
    private long order;
    private int requests;
    private int sends;
    private int refused;

    ModuleDrive(Settings settings) {
        this.settings = settings;
        policy = new Policy(settings);
    }

    static Settings settings(int proxies, int rank, int classes, int tenants) {
        var types = new ArrayList<RequestClass>();
        for (int i = 0; i < classes; i++) {
            types.add(new RequestClass("class-" + i, 600_000, 2 * S, 1 + i, 0, Effect.SAFE, Scope.ALL, 0));
        }
        var shares = new ArrayList<Tenant>();
        for (int i = 0; i < tenants; i++) {
            shares.add(new Tenant("tenant-" + i, 1_000_000));
        }
        return new Settings(proxies, rank, "a", 1_000, types, shares, 0.05, false, new Limits(true, false, false, false, 4, 0),
                new Rules(0.4, 30 * S, 4, S, 10 * S, false), 7 + rank);
    }

    static Backend ready(String id, long startedAtUs) {
        return new Backend(id, BackendState.READY, "std", "a", 1, startedAtUs, 1);
    }

    static List<Backend> servers(int count) {
        var list = new ArrayList<Backend>();
        for (int i = 0; i < count; i++) {
            list.add(ready("s-" + Integer.toHexString(i * 0x9E3779B1), 0));
        }
        return list;
    }

    void feed(Event event) {
        policy.handle(now, event, this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            sends++;
            onSend.accept(send);
            int number = attempts.merge(send.id(), 1, Integer::sum) - 1;
            due.add(new Due(now + ANSWER_US, order++, new AttemptEnded(send.id(), number, send.backend(), answer, ANSWER_US, true)));
        } else if (action instanceof SetTimer timer) {
            due.add(new Due(timer.atUs(), order++, new TimerFired(timer.token())));
        } else if (action instanceof Refuse || action instanceof Fail) {
            refused++;
        }
    }

    void list(ListKind kind, List<Backend> backends) {
        feed(new ListUpdate(kind, backends));
    }

    /** Sets the outcome of all further attempts. */
    void answerWith(Outcome outcome) {
        answer = outcome;
    }

    void onSend(Consumer<Send> listener) {
        onSend = listener;
    }

    /** Advances the time to {@code end}, and passes on the answers and timers that fall due meanwhile. */
    void advanceTo(long end) {
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            if (next.event() instanceof AttemptEnded ended) {
                attempts.remove(ended.id());
            }
            feed(next.event());
        }
        now = Math.max(now, end);
    }

    void arrive(int requestClass, int tenant) {
        String name = settings.tenants().isEmpty() ? null : "tenant-" + tenant % settings.tenants().size();
        feed(new Arrival("r" + requests++, settings.classes().get(requestClass).name(), name, null, 2 * S, false, 0));
    }

    /** Lets a request arrive and advances the time until its answer. */
    void request(int requestClass, int tenant) {
        arrive(requestClass, tenant);
        advanceTo(now + ANSWER_US);
    }

    int requests() {
        return requests;
    }

    int sends() {
        return sends;
    }

    int refused() {
        return refused;
    }

    /** Sends one request of each tenant and class, at {@code requestsPerS} a second. */
    void requestOfEachTenantAndClass(int classes, int tenants, double requestsPerS) {
        for (int requestClass = 0; requestClass < classes; requestClass++) {
            for (int tenant = 0; tenant < tenants; tenant++) {
                request(requestClass, tenant);
                advanceTo(now + Math.max(0, (long) (S / requestsPerS) - ANSWER_US));
            }
        }
    }

    /** Sends requests one after the other, 31 ms apart, and returns the sorted CPU times of each (arrival and end together), in ns. */
    long[] measureRequests(int count, int classes, int tenants) {
        var cpuTimesNs = new long[count];
        for (int i = 0; i < count; i++) {
            long beginNs = cpuNs();
            request(i % classes, i * 7919 % Math.max(1, tenants));
            cpuTimesNs[i] = cpuNs() - beginNs;
            advanceTo(now + S / 92);
        }
        Arrays.sort(cpuTimesNs);
        return cpuTimesNs;
    }

    /** Returns the CPU time of this thread. Other work on the machine affects it only by its use of the CPU caches. */
    static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    static double quantileUs(long[] sortedNs, double quantile) {
        return sortedNs[(int) Math.min(sortedNs.length - 1, quantile * sortedNs.length)] / 1e3;
    }

    /** Returns the used heap after three garbage collections. */
    static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Runs a task five times and returns the median CPU time, in ms. */
    static double medianMs(Runnable task) {
        var cpuTimesNs = new long[5];
        for (int i = 0; i < cpuTimesNs.length; i++) {
            long beginNs = cpuNs();
            task.run();
            cpuTimesNs[i] = cpuNs() - beginNs;
        }
        Arrays.sort(cpuTimesNs);
        return cpuTimesNs[2] / 1e6;
    }
}
