package walkpost.fleet.observe;

import java.util.Map;
import java.util.TreeMap;

/** Counts by name; owned by the machine that counts. */
final class Counts {
    private final Map<String, Long> counts = new TreeMap<>();

    void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns all counts so far; a copy. */
    Map<String, Long> all() {
        return new TreeMap<>(counts);
    }
}
