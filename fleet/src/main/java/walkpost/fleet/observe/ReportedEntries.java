package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;

/**
 * What observers have reported to this voter: owns these facts, for those who ask. They are passed on to nobody. A writer's are bounded in
 * number, and what is old and whose writer is gone is forgotten.
 */
final class ReportedEntries {
    /** For how long what a writer that has gone said is kept, so that operators still see it. */
    private static final long GONE_US = 60_000_000;
    private static final Comparator<Entry> NEWER = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version);

    private record ReportedEntry(Entry fact, long seenUs) { }

    private final ObserveCounters counters;
    private final Map<String, Map<Entry.Key, ReportedEntry>> byWriter = new LinkedHashMap<>();

    ReportedEntries(ObserveCounters counters) {
        this.counters = counters;
    }

    void take(long nowUs, String from, List<Entry> facts) {
        for (Entry fact : facts) {
            boolean wrong = !fact.key().writer().equals(from) || fact.ageUs() < 0 || fact.ageUs() > Observer.NEVER_US
                    || MessageSizes.utf8Length(fact.payload()) > MessageSizes.FACT;
            Map<Entry.Key, ReportedEntry> own = wrong ? null : byWriter.computeIfAbsent(from, name -> new LinkedHashMap<>());
            if (wrong || !own.containsKey(fact.key()) && own.size() >= OwnEntries.MOST) {
                counters.increment("facts.refused");
                continue;
            }
            ReportedEntry known = own.get(fact.key());
            if (known == null || NEWER.compare(fact, known.fact) > 0) {
                // A new life withdraws what the one before said.
                own.values().removeIf(entry -> entry.fact.incarnation() < fact.incarnation());
                own.put(fact.key(), new ReportedEntry(fact, nowUs - fact.ageUs()));
                counters.increment("facts.reported");
            }
        }
    }

    void forget(long nowUs, Subscribers attached) {
        byWriter.entrySet().removeIf(writer -> {
            writer.getValue().values().removeIf(entry -> nowUs - entry.seenUs > GONE_US
                    && (entry.fact.payload() == null || !attached.has(writer.getKey())));
            return writer.getValue().isEmpty();
        });
    }

    /** Returns what is on a topic and not withdrawn, ages counted to now. */
    List<Entry> on(String topic, long nowUs) {
        List<Entry> found = new ArrayList<>();
        byWriter.values().forEach(own -> own.values().forEach(entry -> {
            Entry fact = entry.fact;
            if (fact.key().topic().equals(topic) && fact.payload() != null) {
                found.add(new Entry(fact.key(), fact.incarnation(), fact.version(), fact.payload(), nowUs - entry.seenUs));
            }
        }));
        return found;
    }

    int size() {
        return byWriter.values().stream().mapToInt(Map::size).sum();
    }
}
