package walkpost.fleet.copy;

import java.util.Map;
import java.util.TreeMap;

/** Counts of what a shard saw, by name; owned by the shard. */
final class Figures {
    private final Map<String, Long> counts = new TreeMap<>();

    void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns all counts so far; a copy. */
    Map<String, Long> all() {
        return new TreeMap<>(counts);
    }
}
