package walkpost.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Measures what a fleet asks of discovery after a signal that all its proxies get within moments, or in an upgrade of all of them, with and
 * without the deadline that this sets. A program, not a test: {@code ReloadHerd PROXIES CALL_MS SLOTS REJECT_AT_ONCE_MS SEED [upgrade]}.
 * Discovery answers {@code SLOTS} calls at a time, each in {@code CALL_MS}, in turn, and rejects a call after 2 s in the queue; for
 * {@code REJECT_AT_ONCE_MS} after the signal, or after the start of the upgrade, it rejects each call at once. Watches that go on are
 * answered out of turn. A new process of an upgrade is ready with its first list, and after 3 s at the latest.
 */
final class ReloadHerd {
    private static final InetSocketAddress NEW_ADDRESS = new InetSocketAddress("127.0.0.1", 2);
    private static final long OLD_VERSION = 41;
    private static final long NEW_VERSION = 42;
    private static final long SIGNAL_MS = 10_000;
    private static final int SIGNAL_SPREAD_MS = 50;
    private static final long MAX_QUEUE_MS = 2_000;
    private static final long REJECTION_MS = 1;
    private static final long DRAINS_COUNT_MS = 4_300;
    private static final long END_MS = 60_000;
    private static final long ASK_WITHIN_MS = 20_000;
    private static final long LIST_WAIT_MS = 3_000;
    private static final String NO_WAIT = "hold_ms=0";

    private record QueuedCall(ListClientSimulation.Call call, long sinceMs) { }

    private final int proxies;
    private final long callMs;
    private final long rejectAtOnceMs;
    private final boolean withDeadline;
    private final boolean upgrade;
    private final Random random;
    private final ListClientSimulation simulation = new ListClientSimulation(this::onCall, 1);
    private final ArrayDeque<QueuedCall> queue = new ArrayDeque<>();
    private final List<Long> callTimesMs = new ArrayList<>();
    private int freeSlots;
    private int rejected;

    private ReloadHerd(int proxies, long callMs, int slots, long rejectAtOnceMs, long seed, boolean withDeadline, boolean upgrade) {
        this.proxies = proxies;
        this.callMs = callMs;
        this.freeSlots = slots;
        this.rejectAtOnceMs = rejectAtOnceMs;
        this.withDeadline = withDeadline;
        this.upgrade = upgrade;
        random = new Random(seed);
    }

    /** Runs one measurement without and one with the deadline. */
    public static void main(String[] args) {
        for (boolean withDeadline : new boolean[] {false, true}) {
            new ReloadHerd(Integer.parseInt(args[0]), Long.parseLong(args[1]), Integer.parseInt(args[2]), Long.parseLong(args[3]),
                    Long.parseLong(args[4]), withDeadline, args.length > 5 && args[5].equals("upgrade")).run();
        }
    }

    private void run() {
        var fleet = new ArrayList<ListClientSimulation.Proxy>();
        if (upgrade) {
            simulation.runUntil(SIGNAL_MS);
            startNewProcesses(fleet);
        } else {
            startAll(fleet);
            simulation.runUntil(SIGNAL_MS);
            reloadAll(fleet);
        }
        while (simulation.nowMs() < END_MS && receivedAfterMs(fleet).size() < proxies) {
            simulation.runUntil(simulation.nowMs() + 100);
        }
        report(receivedAfterMs(fleet));
        simulation.close();
    }

    private void startAll(List<ListClientSimulation.Proxy> fleet) {
        for (int i = 0; i < proxies; i++) {
            fleet.add(simulation.new Proxy(ListClientSimulation.config(random.nextLong(), ASK_WITHIN_MS, false)));
        }
    }

    private void reloadAll(List<ListClientSimulation.Proxy> fleet) {
        for (ListClientSimulation.Proxy proxy : fleet) {
            Config config = ListClientSimulation.config(random.nextLong(), ASK_WITHIN_MS, false);
            simulation.runAfter(random.nextInt(SIGNAL_SPREAD_MS), () -> proxy.reload(config, NEW_ADDRESS, withDeadline));
        }
    }

    private void startNewProcesses(List<ListClientSimulation.Proxy> fleet) {
        for (int i = 0; i < proxies; i++) {
            Config config = ListClientSimulation.config(random.nextLong(), ASK_WITHIN_MS, false);
            simulation.runAfter(random.nextInt(SIGNAL_SPREAD_MS), () -> {
                ListClientSimulation.Proxy proxy = simulation.new Proxy(config);
                fleet.add(proxy);
                if (withDeadline) {
                    simulation.runAfter(LIST_WAIT_MS, proxy::becomeReady);
                }
            });
        }
    }

    /** Returns when the proxies that have a list from the new address got it, after the signal, in order. */
    private List<Long> receivedAfterMs(List<ListClientSimulation.Proxy> fleet) {
        return fleet.stream()
                .map(proxy -> upgrade ? proxy.firstListAfterMs(SIGNAL_MS) : proxy.firstFullListAfterMs(SIGNAL_MS))
                .filter(atMs -> atMs != Long.MAX_VALUE)
                .map(atMs -> atMs - SIGNAL_MS).sorted().toList();
    }

    private void report(List<Long> receivedMs) {
        long early = callTimesMs.stream().filter(atMs -> atMs <= SIGNAL_MS + DRAINS_COUNT_MS).count();
        long busiest = callTimesMs.stream()
                .mapToLong(fromMs -> callTimesMs.stream().filter(atMs -> atMs >= fromMs && atMs < fromMs + 1_000).count()).max().orElse(0);
        System.out.printf("%s deadline: calls %d, in the first 4.3 s %d, in the busiest second %d, rejected %d; lists by 4.3 s %d of %d, "
                        + "half by %.2f s, the last at %.2f s%n", withDeadline ? "with   " : "without", callTimesMs.size(), early, busiest, rejected,
                receivedMs.stream().filter(ms -> ms <= DRAINS_COUNT_MS).count(), proxies, receivedMs.get(receivedMs.size() / 2) / 1e3,
                receivedMs.get(receivedMs.size() - 1) / 1e3);
    }

    private void onCall(ListClientSimulation.Call call) {
        boolean watchGoesOn = call.uri.contains("from=") && !(upgrade && call.uri.contains(NO_WAIT));
        boolean isNewAddress = upgrade || call.address.equals(NEW_ADDRESS);
        if (watchGoesOn || !isNewAddress) {
            call.respondAfter(call.holdMs() + REJECTION_MS, isNewAddress ? NEW_VERSION : OLD_VERSION);
            return;
        }
        callTimesMs.add(simulation.nowMs());
        if (simulation.nowMs() < SIGNAL_MS + rejectAtOnceMs) {
            rejected++;
            call.failAfter(REJECTION_MS, CallFailure.REJECTED);
            return;
        }
        queue.add(new QueuedCall(call, simulation.nowMs()));
        simulation.runAfter(MAX_QUEUE_MS, this::rejectOverdue);
        serveNext();
    }

    private void rejectOverdue() {
        while (!queue.isEmpty() && queue.peek().sinceMs() <= simulation.nowMs() - MAX_QUEUE_MS) {
            ListClientSimulation.Call call = queue.poll().call();
            if (call.isOpen()) {
                rejected++;
                call.failAfter(0, CallFailure.REJECTED);
            }
        }
    }

    private void serveNext() {
        queue.removeIf(queued -> !queued.call().isOpen());
        while (freeSlots > 0 && !queue.isEmpty()) {
            freeSlots--;
            queue.poll().call().respondAfter(callMs, NEW_VERSION);
            simulation.runAfter(callMs, () -> {
                freeSlots++;
                serveNext();
            });
        }
    }
}
