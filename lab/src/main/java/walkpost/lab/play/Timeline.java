package walkpost.lab.play;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is to be done when, in order of time; what is due together, in the order it was put in. Used by one thread. */
final class Timeline {
    private final PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));
    private long count;

    private record Due(long atUs, long order, Runnable what) { }

    void at(long atUs, Runnable what) {
        queue.add(new Due(atUs, count++, what));
    }

    /** Does all that is due by now, and what that brings up for now. */
    void run(long nowUs) {
        while (!queue.isEmpty() && queue.peek().atUs() <= nowUs) {
            queue.poll().what().run();
        }
    }

    /** Returns when the next is due, or {@link Long#MAX_VALUE}. */
    long nextUs() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atUs();
    }
}
