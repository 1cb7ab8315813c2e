package walkpost.fleet.scale;

import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Virtual time in microseconds, what is to come in it, and chance. The thread that plays owns it. */
final class Agenda {
    static final long MS = 1_000;
    static final long S = 1_000 * MS;

    /** Ties go to what was planned first, so that a seed has one order. */
    private record Planned(long atUs, long number, Runnable work) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final UniformRandomProvider random;
    private final PriorityQueue<Planned> queue = new PriorityQueue<>();
    private long nowUs;
    private long planned;

    Agenda(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    long nowUs() {
        return nowUs;
    }

    /** Returns how much was planned so far; differs where two plays differed. */
    long planned() {
        return planned;
    }

    void after(long delayUs, Runnable work) {
        queue.add(new Planned(nowUs + Math.max(0, delayUs), planned++, work));
    }

    void play(long forUs) {
        long endUs = nowUs + forUs;
        while (!queue.isEmpty() && queue.peek().atUs <= endUs) {
            Planned next = queue.poll();
            nowUs = next.atUs;
            next.work.run();
        }
        nowUs = endUs;
    }

    /** Returns a time from zero up to, not including, this one. */
    long draw(long belowUs) {
        return random.nextLong(belowUs);
    }

    int below(int bound) {
        return random.nextInt(bound);
    }

    boolean chance(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Returns a wait until the next of events that come so often a second, independent of each other. */
    long untilNext(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * S);
    }

    long nextSeed() {
        return random.nextLong();
    }
}
