package walkpost.slope;

import walkpost.Balancer.Action;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Backend;
import walkpost.Balancer.Effect;
import walkpost.Balancer.Event;
import walkpost.Balancer.Limits;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.Members;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.RequestClass;
import walkpost.Balancer.Rules;
import walkpost.Balancer.Scope;
import walkpost.Balancer.Send;
import walkpost.Balancer.Settings;
import walkpost.Balancer.State;
import walkpost.Balancer.Tenant;
import walkpost.Policy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One module of 590, driven in virtual time: each request is answered after 20 ms, before the next one comes. */
final class ModuleDrive {
    static final int PROXIES = 590;
    static final long S = 1_000_000;
    static final long ANSWER_US = 20_000;

    private final Settings settings;
    final Policy policy;
    long now = 1_000 * S;
    private Send last;
    private int requests;

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
            last = send;
        }
    }

    void list(ListKind kind, List<Backend> backends) {
        feed(new Members(kind, backends));
    }

    /** One request and its answer; returns what the server was, or null where the request was refused. */
    String request(int type, int tenant, Outcome outcome) {
        String id = "r" + requests++;
        String name = settings.tenants().isEmpty() ? null : "tenant-" + tenant % settings.tenants().size();
        last = null;
        feed(new Arrival(id, settings.classes().get(type).name(), name, null, 2 * S, false, 0));
        Send sent = last;
        if (sent != null) {
            now += ANSWER_US;
            feed(new AttemptEnded(id, 0, sent.backend(), outcome, ANSWER_US, true));
        }
        return sent == null ? null : sent.backend();
    }

    /** Each tenant and class once, at {@code perS} requests a second. */
    void once(int classes, int tenants, double perS) {
        for (int type = 0; type < classes; type++) {
            for (int tenant = 0; tenant < tenants; tenant++) {
                request(type, tenant, Outcome.OK);
                now += (long) (S / perS) - ANSWER_US / 2;
            }
        }
    }

    /** Requests at 92 a second; returns what each took of the CPU's time, arrival and end, in ns, sorted. */
    long[] steady(int count, int classes, int tenants) {
        var took = new long[count];
        for (int i = 0; i < count; i++) {
            long from = System.nanoTime();
            request(i % classes, i * 7919 % Math.max(1, tenants), Outcome.OK);
            took[i] = System.nanoTime() - from;
            now += S / 92 / 2;
        }
        Arrays.sort(took);
        return took;
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
            long from = System.nanoTime();
            what.run();
            took[i] = System.nanoTime() - from;
        }
        Arrays.sort(took);
        return took[2] / 1e6;
    }
}
