package walkpost.lab.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;

/**
 * All clients, in an open loop: a thread of its own waits for each arrival's due time and hands it over, whatever has become
 * of those before. Latency counts from the due time, so that a proxy that stands still is seen to (no coordinated
 * omission; Tene, wrk2).
 */
public final class Clients {
    /** The kernel wakes a thread up so much late at most, usually; the rest is waited out awake. */
    private static final long WAKING_NS = 120_000;
    private static final long MOST_LATE_US = 60_000_000;

    private final Stage stage;
    private final Front front;
    private final List<ClientPool> pools = new ArrayList<>();
    private final AtomicLongArray answered;
    private final ConcurrentHistogram late = new ConcurrentHistogram(MOST_LATE_US, 3);
    private final ConcurrentHashMap<Integer, Heavy> heavy = new ConcurrentHashMap<>();
    private final AtomicLong open = new AtomicLong();
    private volatile boolean allSent;
    private volatile boolean stopped;

    /** What makes some requests of a class heavy, while it lasts. */
    private record Heavy(int requestClass, double share, double times) { }

    /** Creates the clients of proxies at these addresses. */
    public Clients(Stage stage, Front front, List<InetSocketAddress> proxies) {
        this.stage = stage;
        this.front = front;
        answered = new AtomicLongArray(proxies.size());
        for (int proxy = 0; proxy < proxies.size(); proxy++) {
            pools.add(new ClientPool(stage, stage.clientLoops().of(proxy), proxy, proxies.get(proxy), this::ended));
        }
    }

    /** Sends all arrivals, each when it is due; returns after the last, or early when stopped. */
    public void run() {
        List<Plan.Arrival> arrivals = stage.plan().arrivals();
        for (int number = 0; number < arrivals.size() && !stopped; number++) {
            Plan.Arrival arrival = arrivals.get(number);
            waitFor(stage.clock().nanosAt(arrival.dueUs()));
            open.incrementAndGet();
            begin(number, arrival, 0, arrival.dueUs());
        }
        allSent = true;
    }

    /** Returns whether all is sent that was drawn, and nobody waits any more. */
    public boolean allDone() {
        return allSent && open.get() == 0;
    }

    private void waitFor(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0 && !stopped; left = nanos - System.nanoTime()) {
            if (left > WAKING_NS) {
                LockSupport.parkNanos(Math.min(left - WAKING_NS, 50_000_000));
            } else {
                Thread.onSpinWait();
            }
        }
    }

    /** Sends nothing more. */
    public void stop() {
        stopped = true;
    }

    /** Makes a share of a class's requests cost so many times their work, until {@link #light}. */
    public void heavy(int fault, int requestClass, double share, double times) {
        heavy.put(fault, new Heavy(requestClass, share, times));
    }

    /** Ends what a fault has made heavy. */
    public void light(int fault) {
        heavy.remove(fault);
    }

    /** Lets nothing pass between clients and a proxy, or all again. */
    public void silence(int proxy, boolean silent) {
        pools.get(proxy).silence(silent);
    }

    /** Returns how many requests a proxy has answered. */
    public long answered(int proxy) {
        return answered.get(proxy);
    }

    /** Returns how late the generator itself was, in microseconds: from due to the moment a pool takes the request. */
    public long lateP99Us() {
        return late.getValueAtPercentile(99);
    }

    private void begin(int number, Plan.Arrival arrival, int attempt, long dueUs) {
        Plan.Try plan = arrival.tries().get(attempt);
        long left = arrival.dueUs() + stage.scenario().classes().get(arrival.requestClass()).deadlineUs() - dueUs;
        int proxy = front.pick(plan.front());
        if (proxy < 0) {
            stage.ledger().note(new Seen.Unsent(stage.clock().now(), number, attempt, plan.id(), dueUs, -1, "nobody is admitted"));
            open.decrementAndGet();
            return;
        }
        double times = heavy.values().stream()
                .filter(h -> h.requestClass() == arrival.requestClass() && arrival.luck() < h.share())
                .mapToDouble(Heavy::times).reduce(1, (a, b) -> a * b);
        var exchange = new Exchange(number, arrival, attempt, dueUs, Math.min(left, plan.patienceUs()), proxy,
                Math.round(arrival.workUs() * times));
        ClientPool pool = pools.get(proxy);
        pool.loop().execute(() -> {
            if (attempt == 0) {
                // When a client tries again is its own affair, and timers of a loop are only good for a millisecond.
                exchange.lateUs = Math.max(0, stage.clock().now() - dueUs);
                late.recordValue(Math.min(MOST_LATE_US, exchange.lateUs));
            }
            pool.send(exchange);
        });
    }

    private void ended(Exchange exchange, int status, long retryAfterUs, boolean reached) {
        if (status > 0) {
            answered.incrementAndGet(exchange.proxy);
        }
        int next = exchange.attempt + 1;
        Scenario.RequestClass requestClass = stage.scenario().classes().get(exchange.arrival.requestClass());
        boolean refused = status == 429 || status == 503;
        boolean harmless = requestClass.effect() != Scenario.Effect.UNSAFE || refused || !reached;
        if (status == 200 || next >= exchange.arrival.tries().size() || !harmless || stopped) {
            open.decrementAndGet();
            return;
        }
        Plan.Try plan = exchange.arrival.tries().get(next);
        long wait = plan.backoffUs();
        if (refused && plan.obeys() && retryAfterUs > 0) {
            wait = Math.max(wait, Math.min(retryAfterUs, stage.scenario().bounds().retryAfterUs()));
        }
        long due = stage.clock().now() + wait;
        if (due < exchange.arrival.dueUs() + requestClass.deadlineUs()) {
            pools.get(exchange.proxy).loop().schedule(() -> begin(exchange.number, exchange.arrival, next, due), wait,
                    TimeUnit.MICROSECONDS);
        } else {
            open.decrementAndGet();
        }
    }
}
