package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulated time, all that is to come in it, chance, and the last lines of what happened. The thread that plays a seed owns it. */
final class Timeline {
    static final long MS = 1_000;
    static final long S = 1_000 * MS;
    private static final int KEPT_LINES = Integer.getInteger("walkpost.lines", 80);

    /** Ties go to what was planned first, so that a seed has one order. */
    private record Planned(long atUs, long number, Runnable work) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final UniformRandomProvider random;
    private final PriorityQueue<Planned> queue = new PriorityQueue<>();
    private final Deque<String> lines = new ArrayDeque<>();
    private final boolean traced;
    private long nowUs;
    private long planned;
    private long hash = 1;

    Timeline(long seed, boolean traced) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.traced = traced;
    }

    long nowUs() {
        return nowUs;
    }

    void after(long delayUs, Runnable work) {
        queue.add(new Planned(nowUs + Math.max(0, delayUs), planned++, work));
    }

    void playUntil(long endUs) {
        while (!queue.isEmpty() && queue.peek().atUs <= endUs) {
            Planned next = queue.poll();
            nowUs = next.atUs;
            next.work.run();
        }
        nowUs = endUs;
    }

    /** Returns a number in [low, high]. */
    long between(long low, long high) {
        return random.nextLong(low, high + 1);
    }

    int below(int bound) {
        return random.nextInt(bound);
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    long nextSeed() {
        return random.nextLong();
    }

    /** Notes what happened; the texts are made only where someone reads them. */
    void note(String format, Object... parts) {
        hash = hash * 31 + nowUs;
        if (traced) {
            lines.add(String.format("%9.3f ", nowUs / 1e6) + String.format(format, parts));
            if (lines.size() > KEPT_LINES) {
                lines.remove();
            }
        }
    }

    /** Returns a number that differs where two plays of a seed differed. */
    long hash() {
        return hash * 31 + planned;
    }

    String trace() {
        return String.join("\n", lines);
    }
}
