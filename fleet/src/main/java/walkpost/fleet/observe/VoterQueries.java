package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;

/**
 * Operators' queries that are sent to all voters: owns the queries that are open, and collects the replies. Any member may query; a voter
 * hands its own part to its {@link Feed} as a message from itself.
 *
 * <p>Not thread-safe: the owner's lock guards it.
 */
public final class VoterQueries {
    /** A query ends after this time with the replies that have arrived, and names the voters that have not replied. */
    private static final long TIMEOUT_US = 1_000_000;
    private static final Comparator<Entry> BY_VERSION = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version);

    /** The entries that the voters returned, and the voters that have not replied in full. */
    public record EntriesResult(List<Entry> entries, List<String> silent) { }

    /** How many of the counted members hold an order; names of some members that lack it; the voters that have not replied. */
    public record CoverageResult(int held, int of, List<String> lacking, List<String> silent) { }

    private static final class Query {
        private final boolean forEntries;
        private final long deadlineUs;
        private final TreeSet<String> silent;
        private final Map<String, BitSet> partsByVoter = new TreeMap<>();
        private final Map<Entry.Key, Entry> found = new LinkedHashMap<>();
        private final TreeSet<String> lacking = new TreeSet<>();
        private int held;
        private int of;

        private Query(boolean forEntries, long nowUs, Collection<String> voters) {
            this.forEntries = forEntries;
            this.deadlineUs = nowUs + TIMEOUT_US;
            this.silent = new TreeSet<>(voters);
        }
    }

    private final Map<Long, Query> openQueries = new TreeMap<>();
    private long lastNumber;

    /**
     * Queries the entries on a topic that observers have reported. Returns the number of the query.
     *
     * @param sender sends a message to the voter of a name
     */
    public long queryEntries(long nowUs, String topic, Collection<String> voters, BiConsumer<String, ObserveMessage> sender) {
        openQueries.put(++lastNumber, new Query(true, nowUs, voters));
        voters.forEach(to -> sender.accept(to, new ObserveMessage.EntriesQuery(lastNumber, topic)));
        return lastNumber;
    }

    /**
     * Queries how many members hold an order. Returns the number of the query.
     *
     * @param sender sends a message to the voter of a name
     */
    public long queryCoverage(long nowUs, Order.Key key, String id, Collection<String> voters, BiConsumer<String, ObserveMessage> sender) {
        openQueries.put(++lastNumber, new Query(false, nowUs, voters));
        voters.forEach(to -> sender.accept(to, new ObserveMessage.CoverageQuery(lastNumber, key, id)));
        return lastNumber;
    }

    /** Takes a voter's reply; ignores all other messages. */
    public void receive(long nowUs, String from, ObserveMessage message) {
        if (message instanceof ObserveMessage.EntriesReply reply) {
            Query query = openQueries.get(reply.seq());
            if (query == null || !query.forEntries || !query.silent.contains(from)
                    || !MessageSizes.isValidPart(reply.part(), reply.parts())) {
                return;
            }
            reply.facts().forEach(entry -> query.found.merge(entry.key(), entry, (a, b) -> BY_VERSION.compare(a, b) >= 0 ? a : b));
            BitSet parts = query.partsByVoter.computeIfAbsent(from, name -> new BitSet());
            parts.set(reply.part());
            if (parts.cardinality() == reply.parts()) {
                query.silent.remove(from);
            }
        } else if (message instanceof ObserveMessage.CoverageReply reply) {
            Query query = openQueries.get(reply.seq());
            if (query != null && !query.forEntries && query.silent.remove(from)) {
                query.held += reply.held();
                query.of += reply.of();
                query.lacking.addAll(reply.lacking());
            }
        }
    }

    /** Delivers the results, by the number of the query, of the queries that all voters have answered or whose time has passed. */
    public void deliverResults(long nowUs, BiConsumer<Long, EntriesResult> entries, BiConsumer<Long, CoverageResult> coverage) {
        for (Map.Entry<Long, Query> each : List.copyOf(openQueries.entrySet())) {
            Query query = each.getValue();
            if (!query.silent.isEmpty() && nowUs < query.deadlineUs) {
                continue;
            }
            openQueries.remove(each.getKey());
            if (query.forEntries) {
                entries.accept(each.getKey(), new EntriesResult(new ArrayList<>(query.found.values()), List.copyOf(query.silent)));
            } else {
                coverage.accept(each.getKey(), new CoverageResult(query.held, query.of, List.copyOf(query.lacking),
                        List.copyOf(query.silent)));
            }
        }
    }
}
