package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;

/**
 * The entries that observers have reported to this voter, kept for members that ask. They are not passed on. The number of entries per
 * writer is bounded, and old entries of writers that are gone are forgotten.
 */
final class Reports {
    /** For how long what a writer that has gone said is kept, so that operators still see it. */
    private static final long GONE_US = 60_000_000;
    private static final Comparator<Entry> NEWER = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version);

    private record ReportedEntry(Entry entry, long seenUs) { }

    private final Counts counts;
    private final Map<String, Map<Entry.Key, ReportedEntry>> byWriter = new LinkedHashMap<>();

    Reports(Counts counts) {
        this.counts = counts;
    }

    void take(long nowUs, String from, List<Entry> entries) {
        for (Entry entry : entries) {
            boolean wrong = !entry.key().writer().equals(from) || entry.ageUs() < 0 || entry.ageUs() > Observer.NEVER_US
                    || MessageSizes.utf8Length(entry.payload()) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES;
            Map<Entry.Key, ReportedEntry> own = wrong ? null : byWriter.computeIfAbsent(from, name -> new LinkedHashMap<>());
            if (wrong || !own.containsKey(entry.key()) && own.size() >= OwnEntries.MOST) {
                counts.count("facts.refused");
                continue;
            }
            ReportedEntry known = own.get(entry.key());
            if (known == null || NEWER.compare(entry, known.entry) > 0) {
                // A new life withdraws what the one before said.
                own.values().removeIf(reported -> reported.entry.incarnation() < entry.incarnation());
                own.put(entry.key(), new ReportedEntry(entry, nowUs - entry.ageUs()));
                counts.count("facts.reported");
            }
        }
    }

    void forget(long nowUs, Attached attached) {
        byWriter.entrySet().removeIf(writer -> {
            writer.getValue().values().removeIf(reported -> nowUs - reported.seenUs > GONE_US
                    && (reported.entry.payload() == null || !attached.has(writer.getKey())));
            return writer.getValue().isEmpty();
        });
    }

    /** Returns what is on a topic and not withdrawn, ages counted to now. */
    List<Entry> on(String topic, long nowUs) {
        List<Entry> found = new ArrayList<>();
        byWriter.values().forEach(own -> own.values().forEach(reported -> {
            Entry entry = reported.entry;
            if (entry.key().topic().equals(topic) && entry.payload() != null) {
                found.add(new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), nowUs - reported.seenUs));
            }
        }));
        return found;
    }

    int size() {
        return byWriter.values().stream().mapToInt(Map::size).sum();
    }
}
