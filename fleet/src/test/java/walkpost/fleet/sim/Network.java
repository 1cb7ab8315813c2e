package walkpost.fleet.sim;

import java.util.Arrays;

/** What lies between the nodes: each ordered pair has a way of its own that is slow, lossy, silent or cut as chance had it. */
final class Network {
    /** No message is longer on its way than this, but for late ones, and those that wait in a stopped process. */
    static final long LONGEST_US = 60 * Timeline.MS;
    private static final long LATE_US = 200 * Timeline.MS;

    private final Timeline time;
    private final int nodes;
    private final long[] baseUs;
    private final boolean[] silent;
    private final int[] part;
    private final long jitterUs;
    private double loss;
    private double twice;
    private double late;

    Network(Timeline time, int nodes) {
        this.time = time;
        this.nodes = nodes;
        baseUs = new long[nodes * nodes];
        silent = new boolean[nodes * nodes];
        part = new int[nodes];
        long farthest = time.between(Timeline.MS, LONGEST_US / 2);
        jitterUs = time.between(0, LONGEST_US / 2);
        Arrays.setAll(baseUs, pair -> time.between(100, farthest));
        loss = time.chance(0.5) ? 0 : time.between(0, 30) / 100.0;
        twice = time.chance(0.5) ? 0 : time.between(0, 10) / 100.0;
        late = time.chance(0.5) ? 0 : time.between(0, 10) / 100.0;
    }

    /** Sends what {@code arrive} delivers. A sure way loses and doubles nothing, but for silence and cuts. */
    void send(int from, int to, boolean sure, Runnable arrive) {
        if (!sure && time.chance(loss)) {
            return;
        }
        int copies = !sure && time.chance(twice) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delayUs = baseUs[from * nodes + to] + time.between(0, jitterUs) + (time.chance(late) ? time.between(0, LATE_US) : 0);
            time.after(delayUs, () -> {
                if (passes(from, to)) {
                    arrive.run();
                }
            });
        }
    }

    private boolean passes(int from, int to) {
        return part[from] == part[to] && !silent[from * nodes + to];
    }

    void silence(int from, int to, boolean on) {
        silent[from * nodes + to] = on;
    }

    /** Cuts the nodes into so many parts; one part mends it. */
    void cut(int parts) {
        Arrays.setAll(part, node -> time.below(parts));
    }

    void isolate(int node) {
        part[node] = -1;
    }

    /** Ends what {@link #isolate} began, or a cut, for this node. */
    void rejoin(int node) {
        part[node] = 0;
    }

    /** From now on all goes well. */
    void heal() {
        Arrays.fill(silent, false);
        Arrays.fill(part, 0);
        loss = 0;
        twice = 0;
        late = 0;
    }
}
