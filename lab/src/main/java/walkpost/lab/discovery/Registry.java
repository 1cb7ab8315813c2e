package walkpost.lab.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The list and its versions: what has changed since when. Used by one thread. */
final class Registry {
    /** So many versions are kept; whoever is further behind is told the whole list. */
    private static final int KEPT = 64;
    /** Versions begin here, as a proxy may have been running for long. */
    private static final int FIRST = 41;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Integer, String> changes = new TreeMap<>();
    private int version = FIRST;

    /** What is to be told to somebody: the whole list, or what has changed; {@code entries} may be empty. */
    record News(int version, boolean full, List<Entry> entries) { }

    /** Puts the list together that everybody knows at the start. */
    void begin(List<Entry> known) {
        known.forEach(e -> entries.put(e.id(), e));
    }

    /** Takes a change in; the next version tells of it. */
    void change(Entry entry) {
        entries.put(entry.id(), entry);
        changes.put(++version, entry.id());
        while (changes.size() > KEPT) {
            changes.pollFirstEntry();
        }
    }

    int version() {
        return version;
    }

    Entry entry(String id) {
        return entries.get(id);
    }

    /** Returns the whole list; who is gone is not on it. */
    News all() {
        return new News(version, true, entries.values().stream().filter(e -> e.state() != Entry.State.GONE).toList());
    }

    /** Returns what is new to somebody who has a version: one that we never had, or have forgotten, gets the whole list. */
    News since(int from) {
        if (from > version || from < version && (changes.isEmpty() || changes.firstKey() > from + 1)) {
            return all();
        }
        var latest = new LinkedHashMap<String, Entry>();
        changes.tailMap(from, false).values().forEach(id -> latest.put(id, entries.get(id)));
        return new News(version, false, new ArrayList<>(latest.values()));
    }
}
