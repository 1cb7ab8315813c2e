package walkpost.fleet.copy;

import java.util.Map;
import java.util.TreeMap;

/** The event counters of a shard, by name. Not thread-safe: the shard owns them. */
final class ShardCounters {
    private final Map<String, Long> counts = new TreeMap<>();

    void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns a copy of all counters. */
    Map<String, Long> snapshot() {
        return new TreeMap<>(counts);
    }
}
