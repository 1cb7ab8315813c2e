package walkpost.fleet.observe;

import java.util.Map;
import java.util.TreeMap;

/** The counters of a {@link Feed} or an {@link Observer}, by name. Not thread-safe: their owner's lock guards them. */
final class ObserveCounters {
    private final Map<String, Long> counts = new TreeMap<>();

    void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns a copy of all counters so far; a counter appears with its first increment. */
    Map<String, Long> snapshot() {
        return new TreeMap<>(counts);
    }
}
