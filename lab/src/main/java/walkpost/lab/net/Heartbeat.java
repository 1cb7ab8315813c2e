package walkpost.lab.net;

import java.util.ArrayDeque;

/**
 * When one thread of the lab was held up: it says when it means to wake up next, and what is beyond that it was held up for.
 * Owned by that thread, but for {@link #longestUs}. Times are a play's, in microseconds.
 */
public final class Heartbeat {
    /** A loop's beats; what is held up between two of them, and over before the second, is not seen. */
    public static final long PERIOD_US = 5_000;
    /** Less is what timers of a loop are off by anyway: they count whole milliseconds. */
    static final long LEAST_US = 2_000;
    /** Nobody asks about longer ago: it is over twice the longest deadline there is in a scenario that ships. */
    private static final long KEPT_US = 60_000_000;

    private final ArrayDeque<Span> spans = new ArrayDeque<>();
    private PlayClock clock;
    private Noted noted;
    private long dueUs;
    private volatile long longestUs;

    private record Span(long fromUs, long toUs) { }

    /** What is told of each hold-up. */
    public interface Noted {
        /** The thread did nothing from the one moment to the other, though it was to wake up at the first. */
        void held(long fromUs, long toUs);
    }

    /** Begins, before the thread's first beat; what was held up before is forgotten. */
    public void begin(PlayClock by, Noted told) {
        clock = by;
        noted = told;
        dueUs = Long.MAX_VALUE;
        spans.clear();
    }

    /** The thread is awake, and means to be again after {@link #PERIOD_US}. */
    void beat() {
        long now = clock.now();
        awake(now);
        dueAt(now + PERIOD_US);
    }

    /** The thread means to be awake again at a moment. */
    public void dueAt(long us) {
        dueUs = us;
    }

    /** The thread is awake. */
    public void awake(long nowUs) {
        if (dueUs < Long.MAX_VALUE && nowUs - dueUs > LEAST_US) {
            spans.add(new Span(dueUs, nowUs));
            longestUs = Math.max(longestUs, nowUs - dueUs);
            noted.held(dueUs, nowUs);
            while (spans.peek().toUs() < nowUs - KEPT_US) {
                spans.poll();
            }
        }
        dueUs = Long.MAX_VALUE;
    }

    /** Returns for how long it was held up within a span of time, as far as it has noticed. */
    public long heldUs(long fromUs, long toUs) {
        return spans.stream().mapToLong(s -> Math.max(0, Math.min(toUs, s.toUs()) - Math.max(fromUs, s.fromUs()))).sum();
    }

    /**
     * Returns by how much earlier something may have come that was seen at a moment: hold-ups that lasted then, or were over no
     * longer before than they had lasted, as it takes about so long to catch up.
     */
    public long earlierUs(long seenAtUs) {
        return spans.stream().filter(s -> s.fromUs() < seenAtUs && 2 * s.toUs() - s.fromUs() >= seenAtUs)
                .mapToLong(s -> Math.min(s.toUs(), seenAtUs) - s.fromUs()).sum();
    }

    /** Returns the longest hold-up so far; may be asked by anyone. */
    long longestUs() {
        return longestUs;
    }
}
