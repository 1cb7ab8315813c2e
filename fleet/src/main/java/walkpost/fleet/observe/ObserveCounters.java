package walkpost.fleet.observe;

import java.util.Map;
import java.util.TreeMap;

/** ObserveCounters by name; owned by the machine that counts. */
final class ObserveCounters {
    private final Map<String, Long> counts = new TreeMap<>();

    void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns all counts so far; a copy. */
    Map<String, Long> snapshot() {
        return new TreeMap<>(counts);
    }
}
