package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Sizes;

/**
 * What observers have reported to this voter: owns these facts, for those who ask. They are passed on to nobody. A writer's are bounded in
 * number, and what is old and whose writer is gone is forgotten.
 */
final class Reports {
    /** For how long what a writer that has gone said is kept, so that operators still see it. */
    private static final long GONE_US = 60_000_000;
    private static final Comparator<Fact> NEWER = Comparator.comparingLong(Fact::incarnation).thenComparingLong(Fact::version);

    private record Entry(Fact fact, long seenUs) { }

    private final Counts counts;
    private final Map<String, Map<Fact.Key, Entry>> byWriter = new LinkedHashMap<>();

    Reports(Counts counts) {
        this.counts = counts;
    }

    void take(long nowUs, String from, List<Fact> facts) {
        for (Fact fact : facts) {
            boolean wrong = !fact.key().writer().equals(from) || fact.ageUs() < 0 || fact.ageUs() > Observer.NEVER_US
                    || Sizes.utf8(fact.payload()) > Sizes.FACT;
            Map<Fact.Key, Entry> own = wrong ? null : byWriter.computeIfAbsent(from, name -> new LinkedHashMap<>());
            if (wrong || !own.containsKey(fact.key()) && own.size() >= OwnFacts.MOST) {
                counts.count("facts.refused");
                continue;
            }
            Entry known = own.get(fact.key());
            if (known == null || NEWER.compare(fact, known.fact) > 0) {
                // A new life withdraws what the one before said.
                own.values().removeIf(entry -> entry.fact.incarnation() < fact.incarnation());
                own.put(fact.key(), new Entry(fact, nowUs - fact.ageUs()));
                counts.count("facts.reported");
            }
        }
    }

    void forget(long nowUs, Attached attached) {
        byWriter.entrySet().removeIf(writer -> {
            writer.getValue().values().removeIf(entry -> nowUs - entry.seenUs > GONE_US
                    && (entry.fact.payload() == null || !attached.has(writer.getKey())));
            return writer.getValue().isEmpty();
        });
    }

    /** Returns what is on a topic and not withdrawn, ages counted to now. */
    List<Fact> on(String topic, long nowUs) {
        List<Fact> found = new ArrayList<>();
        byWriter.values().forEach(own -> own.values().forEach(entry -> {
            Fact fact = entry.fact;
            if (fact.key().topic().equals(topic) && fact.payload() != null) {
                found.add(new Fact(fact.key(), fact.incarnation(), fact.version(), fact.payload(), nowUs - entry.seenUs));
            }
        }));
        return found;
    }

    int size() {
        return byWriter.values().stream().mapToInt(Map::size).sum();
    }
}
