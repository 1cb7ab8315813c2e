package walkpost.fleet.sim;

import java.util.Arrays;

/** The simulated network: each ordered pair of nodes has a link of its own with random delay, loss, duplication, silence and partitions. */
final class Network {
    /** The bound on the transit time of a message, except for late messages and those that wait for a suspended process. */
    static final long MAX_TRANSIT_US = 60 * SimClock.MILLI_US;
    private static final long MAX_LATE_US = 200 * SimClock.MILLI_US;

    private final SimClock time;
    private final int nodes;
    private final long[] baseUs;
    private final boolean[] silent;
    private final int[] partition;
    private final long jitterUs;
    private double loss;
    private double duplication;
    private double lateness;

    Network(SimClock time, int nodes) {
        this.time = time;
        this.nodes = nodes;
        baseUs = new long[nodes * nodes];
        silent = new boolean[nodes * nodes];
        partition = new int[nodes];
        long maxBaseUs = time.between(SimClock.MILLI_US, MAX_TRANSIT_US / 2);
        jitterUs = time.between(0, MAX_TRANSIT_US / 2);
        Arrays.setAll(baseUs, pair -> time.between(100, maxBaseUs));
        loss = time.chance(0.5) ? 0 : time.between(0, 30) / 100.0;
        duplication = time.chance(0.5) ? 0 : time.between(0, 10) / 100.0;
        lateness = time.chance(0.5) ? 0 : time.between(0, 10) / 100.0;
    }

    /**
     * Sends a message, and runs {@code deliver} when it arrives.
     *
     * @param reliable whether the link neither loses nor duplicates the message, apart from silence and partitions
     */
    void send(int from, int to, boolean reliable, Runnable deliver) {
        if (!reliable && time.chance(loss)) {
            return;
        }
        int copies = !reliable && time.chance(duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delayUs = baseUs[from * nodes + to] + time.between(0, jitterUs)
                    + (time.chance(lateness) ? time.between(0, MAX_LATE_US) : 0);
            time.after(delayUs, () -> {
                if (connected(from, to)) {
                    deliver.run();
                }
            });
        }
    }

    private boolean connected(int from, int to) {
        return partition[from] == partition[to] && !silent[from * nodes + to];
    }

    /** Starts or ends the loss of all messages on one link. */
    void silence(int from, int to, boolean silence) {
        silent[from * nodes + to] = silence;
    }

    /** Divides the nodes at random into partitions; one partition ends the division. */
    void divide(int partitions) {
        Arrays.setAll(partition, node -> time.below(partitions));
    }

    /** Cuts a node off from all others. */
    void isolate(int node) {
        partition[node] = -1;
    }

    /** Ends the isolation of a node, or a division, for this node. */
    void rejoin(int node) {
        partition[node] = 0;
    }

    /** Ends all network faults. */
    void heal() {
        Arrays.fill(silent, false);
        Arrays.fill(partition, 0);
        loss = 0;
        duplication = 0;
        lateness = 0;
    }
}
