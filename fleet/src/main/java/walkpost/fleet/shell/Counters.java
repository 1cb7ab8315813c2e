package walkpost.fleet.shell;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts by name, from any thread. */
final class Counters {
    /** Begins the names of what was thrown away; the cause follows. */
    static final String DROPPED = "dropped_";

    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    void add(String name, long more) {
        counts.computeIfAbsent(name, n -> new LongAdder()).add(more);
    }

    /** Counts a message that nobody will see. */
    void dropped(String cause) {
        add(DROPPED + cause, 1);
    }

    long get(String name) {
        LongAdder count = counts.get(name);
        return count == null ? 0 : count.sum();
    }

    Map<String, Long> all() {
        var all = new TreeMap<String, Long>();
        counts.forEach((name, count) -> all.put(name, count.sum()));
        return all;
    }
}
