package walkpost.lab.client;

import io.netty.util.concurrent.ScheduledFuture;
import walkpost.lab.scenario.Plan;

/** One try of a request, on its way through one proxy. Owned by the event loop of that proxy's clients. */
final class Exchange {
    final int number;
    final Plan.Arrival arrival;
    final int attempt;
    final long dueUs;
    final long patienceUs;
    final int proxy;
    final long workUs;
    /** How late the lab itself was with it. */
    long lateUs;
    /** Whether it was sent again already, as a close had crossed it. */
    boolean written;
    boolean again;
    boolean left;
    boolean over;
    ScheduledFuture<?> timer;
    /** The connection it is open on; null where there is none. */
    ClientPool.Connection connection;

    Exchange(int number, Plan.Arrival arrival, int attempt, long dueUs, long patienceUs, int proxy, long workUs) {
        this.number = number;
        this.arrival = arrival;
        this.attempt = attempt;
        this.dueUs = dueUs;
        this.patienceUs = patienceUs;
        this.proxy = proxy;
        this.workUs = workUs;
    }

    Plan.Try plan() {
        return arrival.tries().get(attempt);
    }

    String id() {
        return plan().id();
    }
}
