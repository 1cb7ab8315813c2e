package walkpost.lab.baseline;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** A server as a plain proxy knows it. Owned by the proxy's event loop. */
final class Known {
    /** What a server is held to take before it has answered once. */
    private static final double FIRST_US = 50_000;
    private static final double DECAY_US = 5_000_000;

    final String id;
    InetSocketAddress address;
    boolean ready;
    long startedMs;
    int outstanding;
    /** What was sent but may not have arrived yet, for the oracle. */
    double onItsWayUs;
    final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private double ewmaUs = FIRST_US;
    private long learnedNs = System.nanoTime();

    Known(String id) {
        this.id = id;
    }

    /** Takes in how long an attempt took: a peak at once, anything better by and by (Finagle's peak EWMA). */
    void learn(double latencyUs) {
        long now = System.nanoTime();
        double weight = Math.exp(-(now - learnedNs) / 1e3 / DECAY_US);
        learnedNs = now;
        ewmaUs = latencyUs > ewmaUs ? latencyUs : ewmaUs * weight + latencyUs * (1 - weight);
    }

    double load() {
        return ewmaUs * (outstanding + 1);
    }
}
