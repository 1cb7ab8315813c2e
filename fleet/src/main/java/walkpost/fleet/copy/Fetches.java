package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * What of other members' copies is still to be fetched, from whom, and how fast; owns the queue. What several members hold alike is
 * asked of each in turn, so that none carries it all and one that does not answer holds nothing up.
 */
final class Fetches {
    private static final long AGAIN_US = 1_000_000;
    private static final int TRIES = 6;
    private static final int AT_ONCE = 64;

    /** One content of one key, and who has it. */
    private static final class Fetch {
        private final Object content;
        private final Set<String> sources = new LinkedHashSet<>();
        private int tries;
        private long askedUs;

        private Fetch(Object content) {
            this.content = content;
        }
    }

    private final CopySettings settings;
    private final Map<CopyMessage.SlotStamp, Fetch> slots = new LinkedHashMap<>();
    private final Map<Order.Key, Set<CopyMessage.SlotStamp>> byKey = new LinkedHashMap<>();
    private final Map<Fact.Key, Fetch> facts = new LinkedHashMap<>();
    private double tokens;
    private long filledUs;

    Fetches(CopySettings settings, long nowUs) {
        this.settings = settings;
        this.filledUs = nowUs;
    }

    void want(CopyMessage.SlotStamp stamp, String from) {
        slots.computeIfAbsent(stamp, Fetch::new).sources.add(from);
        byKey.computeIfAbsent(stamp.key(), key -> new LinkedHashSet<>()).add(stamp);
    }

    void want(CopyMessage.FactStamp stamp, String from) {
        Fetch fetch = facts.get(stamp.key());
        if (fetch == null || newer(stamp, (CopyMessage.FactStamp) fetch.content)) {
            fetch = new Fetch(stamp);
            facts.put(stamp.key(), fetch);
        }
        if (fetch.content.equals(stamp)) {
            fetch.sources.add(from);
        }
    }

    /** A slot has come from a member that had, or now has more than, these contents; they are wanted no longer. Returns their sources. */
    Map<CopyMessage.SlotStamp, Set<String>> got(Order.Key key, String from) {
        Map<CopyMessage.SlotStamp, Set<String>> done = new LinkedHashMap<>();
        for (CopyMessage.SlotStamp stamp : List.copyOf(byKey.getOrDefault(key, Set.of()))) {
            if (slots.get(stamp).sources.contains(from)) {
                done.put(stamp, slots.get(stamp).sources);
                drop(stamp);
            }
        }
        return done;
    }

    /** A fact has come, however old: what was to be fetched of it is asked for anew if it still differs. */
    void got(Fact.Key key) {
        facts.remove(key);
    }

    /** Asks for as much as the rate allows. Tells of contents that nobody gives, after some tries, and drops them. */
    void ask(long nowUs, Outbox out, BiConsumer<CopyMessage.SlotStamp, Set<String>> given) {
        // What is saved up in a quiet time is no more than a tenth of a second's worth, or nothing would be smoothed.
        double most = Math.max(1, settings.fetchPerSecond() / 10.0);
        tokens = Math.min(most, tokens + settings.fetchPerSecond() * (nowUs - filledUs) / 1e6);
        filledUs = nowUs;
        Map<String, List<Order.Key>> slotsOf = new TreeMap<>();
        for (Map.Entry<CopyMessage.SlotStamp, Fetch> each : List.copyOf(slots.entrySet())) {
            if (tokens < 1) {
                break;
            }
            String from = next(each.getValue(), nowUs);
            if (from != null) {
                slotsOf.computeIfAbsent(from, name -> new ArrayList<>()).add(each.getKey().key());
            } else if (each.getValue().tries > TRIES) {
                drop(each.getKey());
                given.accept(each.getKey(), each.getValue().sources);
            }
        }
        Map<String, List<Fact.Key>> factsOf = new TreeMap<>();
        for (Map.Entry<Fact.Key, Fetch> each : List.copyOf(facts.entrySet())) {
            if (tokens < 1) {
                break;
            }
            String from = next(each.getValue(), nowUs);
            if (from != null) {
                factsOf.computeIfAbsent(from, name -> new ArrayList<>()).add(each.getKey());
            } else if (each.getValue().tries > TRIES) {
                facts.remove(each.getKey());
            }
        }
        slotsOf.forEach((from, keys) -> cut(keys).forEach(part -> out.send(from, new CopyMessage.Want(part, List.of()))));
        factsOf.forEach((from, keys) -> cut(keys).forEach(part -> out.send(from, new CopyMessage.Want(List.of(), part))));
    }

    int size() {
        return slots.size() + facts.size();
    }

    /** Whom to ask now, or null: it has been asked a moment ago, or too often. */
    private String next(Fetch fetch, long nowUs) {
        if (fetch.tries > 0 && nowUs - fetch.askedUs < AGAIN_US) {
            return null;
        }
        if (++fetch.tries > TRIES) {
            return null;
        }
        fetch.askedUs = nowUs;
        tokens--;
        // Which source comes first differs from key to key.
        List<String> sources = List.copyOf(fetch.sources);
        return sources.get(Math.floorMod(fetch.content.hashCode() + fetch.tries, sources.size()));
    }

    private void drop(CopyMessage.SlotStamp stamp) {
        slots.remove(stamp);
        Set<CopyMessage.SlotStamp> ofKey = byKey.get(stamp.key());
        ofKey.remove(stamp);
        if (ofKey.isEmpty()) {
            byKey.remove(stamp.key());
        }
    }

    private static boolean newer(CopyMessage.FactStamp one, CopyMessage.FactStamp other) {
        return one.incarnation() > other.incarnation()
                || one.incarnation() == other.incarnation() && one.version() >= other.version() && !one.equals(other);
    }

    private static <T> List<List<T>> cut(List<T> all) {
        List<List<T>> parts = new ArrayList<>();
        for (int from = 0; from < all.size(); from += AT_ONCE) {
            parts.add(all.subList(from, Math.min(from + AT_ONCE, all.size())));
        }
        return parts;
    }
}
