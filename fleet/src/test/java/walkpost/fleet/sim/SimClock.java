package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The simulated time of one run, with its scheduled work, its random numbers, and the last lines of its trace. Not thread-safe: the
 * thread that runs the seed owns it.
 */
final class SimClock {
    static final long MILLI_US = 1_000;
    static final long SECOND_US = 1_000 * MILLI_US;
    private static final int MAX_TRACE_LINES = Integer.getInteger("walkpost.lines", 80);

    /** Work scheduled for a time. Work for the same time runs in the order of its scheduling, so that a seed always gives the same run. */
    private record Scheduled(long atUs, long number, Runnable work) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final UniformRandomProvider random;
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Deque<String> traceLines = new ArrayDeque<>();
    private final boolean traced;
    private long nowUs;
    private long scheduledCount;
    private long hash = 1;

    SimClock(long seed, boolean traced) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.traced = traced;
    }

    long nowUs() {
        return nowUs;
    }

    /** Schedules work to run after a delay. */
    void after(long delayUs, Runnable work) {
        queue.add(new Scheduled(nowUs + Math.max(0, delayUs), scheduledCount++, work));
    }

    /** Runs the scheduled work up to a time, and advances the clock to that time. */
    void runUntil(long endUs) {
        while (!queue.isEmpty() && queue.peek().atUs <= endUs) {
            Scheduled next = queue.poll();
            nowUs = next.atUs;
            next.work.run();
        }
        nowUs = endUs;
    }

    /** Returns a random number in [low, high]. */
    long between(long low, long high) {
        return random.nextLong(low, high + 1);
    }

    /** Returns a random number in [0, bound). */
    int below(int bound) {
        return random.nextInt(bound);
    }

    /** Returns true with the given probability. */
    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    long nextSeed() {
        return random.nextLong();
    }

    /** Adds a line to the trace. The line is formatted only if the trace is to be printed. */
    void log(String format, Object... parts) {
        hash = hash * 31 + nowUs;
        if (traced) {
            traceLines.add(String.format("%9.3f ", nowUs / 1e6) + String.format(format, parts));
            if (traceLines.size() > MAX_TRACE_LINES) {
                traceLines.remove();
            }
        }
    }

    /** Returns a hash of the run, to find out whether two runs of a seed differ. */
    long hash() {
        return hash * 31 + scheduledCount;
    }

    String trace() {
        return String.join("\n", traceLines);
    }
}
