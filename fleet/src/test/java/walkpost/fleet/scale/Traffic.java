package walkpost.fleet.scale;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** What went out of each host and came in, by second of virtual time and by kind. Owns these counts. */
final class Traffic {
    /** Who speaks: membership's datagrams, its exchanges of everything, shards among voters, observers and their voters. */
    enum Kind { MEMBER, SYNC, COPY, OBSERVE }

    /** How much of one type of message. */
    static final class Sum {
        long messages;
        long bytes;
    }

    /** Bytes a second of one host: the mean of a time, and the worst ten seconds in it. */
    record Rate(double mean, double worst) { }

    private static final int WORST_S = 10;

    private final int hosts;
    private final int seconds;
    private final int[][][] out;
    private final int[][][] in;
    private final int[][] messagesOut;
    private final int[][] messagesIn;
    private final Map<String, Sum> types = new TreeMap<>();

    Traffic(int hosts, int seconds) {
        this.hosts = hosts;
        this.seconds = seconds;
        out = new int[Kind.values().length][hosts][seconds];
        in = new int[Kind.values().length][hosts][seconds];
        messagesOut = new int[hosts][seconds];
        messagesIn = new int[hosts][seconds];
    }

    void sent(long nowUs, int host, Kind kind, String type, int bytes) {
        int second = second(nowUs);
        out[kind.ordinal()][host][second] += bytes;
        messagesOut[host][second]++;
        Sum sum = types.computeIfAbsent(type, name -> new Sum());
        sum.messages++;
        sum.bytes += bytes;
    }

    void arrived(long nowUs, int host, Kind kind, int bytes) {
        int second = second(nowUs);
        in[kind.ordinal()][host][second] += bytes;
        messagesIn[host][second]++;
    }

    /** What counts as messages by type starts anew. */
    void clearTypes() {
        types.clear();
    }

    Map<String, Sum> types() {
        return types;
    }

    private int second(long nowUs) {
        return (int) Math.min(seconds - 1, nowUs / Agenda.S);
    }

    /** Returns the rate of one host's bytes out, or in, of these kinds from one second to another. */
    Rate bytes(boolean outward, int host, int from, int to, Kind... kinds) {
        long[] all = new long[to - from];
        for (Kind kind : kinds.length == 0 ? Kind.values() : kinds) {
            int[] counted = (outward ? out : in)[kind.ordinal()][host];
            for (int second = from; second < to; second++) {
                all[second - from] += counted[second];
            }
        }
        return rate(all);
    }

    /** Returns messages a second of one host. */
    Rate messages(boolean outward, int host, int from, int to) {
        return rate(Arrays.stream((outward ? messagesOut : messagesIn)[host], from, to).asLongStream().toArray());
    }

    private static Rate rate(long[] bySecond) {
        int span = Math.min(WORST_S, bySecond.length);
        long sum = 0;
        long running = 0;
        long worst = 0;
        for (int i = 0; i < bySecond.length; i++) {
            sum += bySecond[i];
            running += bySecond[i] - (i >= span ? bySecond[i - span] : 0);
            worst = Math.max(worst, running);
        }
        return new Rate((double) sum / bySecond.length, (double) worst / span);
    }

    /** Returns a number that differs where two plays of a seed differed. */
    long fingerprint() {
        long hash = 1;
        for (int host = 0; host < hosts; host++) {
            for (Kind kind : Kind.values()) {
                hash = hash * 31 + Arrays.hashCode(out[kind.ordinal()][host]);
                hash = hash * 31 + Arrays.hashCode(in[kind.ordinal()][host]);
            }
        }
        return hash;
    }
}
