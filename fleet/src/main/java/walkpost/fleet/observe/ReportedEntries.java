package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;

/**
 * The entries that observers have reported to this voter: owns them and answers queries from them. They are not passed on to other
 * voters. The number of entries of each writer is bounded, and old entries whose writer is gone are forgotten.
 */
final class ReportedEntries {
    /** How long the entries of a writer that is gone are kept, so that operators can still see them. */
    private static final long RETENTION_US = 60_000_000;
    private static final Comparator<Entry> BY_VERSION = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version);

    private record ReportedEntry(Entry entry, long writtenUs) { }

    private final ObserveCounters counters;
    private final Map<String, Map<Entry.Key, ReportedEntry>> byWriter = new LinkedHashMap<>();

    ReportedEntries(ObserveCounters counters) {
        this.counters = counters;
    }

    /** Stores reported entries; refuses those of another writer, with an impossible age, too long, or one too many. */
    void store(long nowUs, String from, List<Entry> entries) {
        for (Entry entry : entries) {
            boolean invalid = !entry.key().writer().equals(from) || entry.ageUs() < 0 || entry.ageUs() > Observer.NEVER_US
                    || MessageSizes.utf8Length(entry.payload()) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES;
            Map<Entry.Key, ReportedEntry> ofWriter = invalid ? null : byWriter.computeIfAbsent(from, name -> new LinkedHashMap<>());
            if (invalid || !ofWriter.containsKey(entry.key()) && ofWriter.size() >= OwnEntries.MAX_ENTRIES) {
                counters.increment("facts.refused");
                continue;
            }
            ReportedEntry known = ofWriter.get(entry.key());
            if (known == null || BY_VERSION.compare(entry, known.entry) > 0) {
                // A new life of the writer withdraws the entries of its earlier lives.
                ofWriter.values().removeIf(reported -> reported.entry.incarnation() < entry.incarnation());
                ofWriter.put(entry.key(), new ReportedEntry(entry, nowUs - entry.ageUs()));
                counters.increment("facts.reported");
            }
        }
    }

    /** Forgets old entries that are withdrawn, or whose writer is not subscribed here. */
    void forget(long nowUs, Subscribers subscribers) {
        byWriter.entrySet().removeIf(writer -> {
            writer.getValue().values().removeIf(reported -> nowUs - reported.writtenUs > RETENTION_US
                    && (reported.entry.payload() == null || !subscribers.contains(writer.getKey())));
            return writer.getValue().isEmpty();
        });
    }

    /** Returns the entries on a topic that are not withdrawn, with their ages now. */
    List<Entry> onTopic(String topic, long nowUs) {
        List<Entry> found = new ArrayList<>();
        byWriter.values().forEach(ofWriter -> ofWriter.values().forEach(reported -> {
            Entry entry = reported.entry;
            if (entry.key().topic().equals(topic) && entry.payload() != null) {
                found.add(new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), nowUs - reported.writtenUs));
            }
        }));
        return found;
    }

    int size() {
        return byWriter.values().stream().mapToInt(Map::size).sum();
    }
}
