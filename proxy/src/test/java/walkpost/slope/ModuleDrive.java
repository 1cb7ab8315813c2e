package walkpost.slope;

import walkpost.Balancer.Action;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.Effect;
import walkpost.Balancer.Event;
import walkpost.Balancer.Limits;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Members;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Refuse;
import walkpost.Balancer.RequestClass;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Scope;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.Settings;
import walkpost.Balancer.State;
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

/** One module of 590, driven in virtual time: each attempt is answered after 20 ms. */
final class ModuleDrive {
    private record Due(long at, long order, Event event) { }

    static final int PROXIES = 590;
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
        return new Backend(id, State.READY, "std", "a", 1, startedAtUs, 1);
    }

    static List<Backend> servers(int count) {
        var list = new ArrayList<Backend>();
        for (int i = 0; i < count; i++) {
            list.add(ready("s-" + Integer.toHexString(i * 0x9E3779B1), 0));
        }
        return list;
    }

    void feed(Event event) {
        policy.handle(now, event, this::hear);
    }

    private void hear(Action action) {
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
        feed(new Members(kind, backends));
    }

    /** All servers answer so from now on. */
    void answer(Outcome outcome) {
        answer = outcome;
    }

    void onSend(Consumer<Send> hearer) {
        onSend = hearer;
    }

    /** Time passes: answers come and timers fire when they are due. */
    void until(long end) {
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

    void arrive(int type, int tenant) {
        String name = settings.tenants().isEmpty() ? null : "tenant-" + tenant % settings.tenants().size();
        feed(new Arrival("r" + requests++, settings.classes().get(type).name(), name, null, 2 * S, false, 0));
    }

    /** One request, and the time that its answer takes. */
    void request(int type, int tenant) {
        arrive(type, tenant);
        until(now + ANSWER_US);
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

    /** Each tenant and class once, at {@code perS} requests a second. */
    void once(int classes, int tenants, double perS) {
        for (int type = 0; type < classes; type++) {
            for (int tenant = 0; tenant < tenants; tenant++) {
                request(type, tenant);
                until(now + Math.max(0, (long) (S / perS) - ANSWER_US));
            }
        }
    }

    /** Requests one after the other, 31 ms apart; returns what each took of the CPU's time, arrival and end, in ns, sorted. */
    long[] steady(int count, int classes, int tenants) {
        var took = new long[count];
        for (int i = 0; i < count; i++) {
            long from = cpuNs();
            request(i % classes, i * 7919 % Math.max(1, tenants));
            took[i] = cpuNs() - from;
            until(now + S / 92);
        }
        Arrays.sort(took);
        return took;
    }

    /** What this thread has had of a core: other work on the machine does not count, but for its use of caches. */
    static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    static double quantileUs(long[] sortedNs, double part) {
        return sortedNs[(int) Math.min(sortedNs.length - 1, part * sortedNs.length)] / 1e3;
    }

    static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** The median of five, in ms. */
    static double medianMs(Runnable what) {
        var took = new long[5];
        for (int i = 0; i < took.length; i++) {
            long from = cpuNs();
            what.run();
            took[i] = cpuNs() - from;
        }
        Arrays.sort(took);
        return took[2] / 1e6;
    }
}
