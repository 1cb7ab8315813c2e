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
 * The slots and entries still to be fetched from other members, with the members that have them; sends requests at a limited rate.
 * Content that several members have in common is requested from them in turn, so that no member serves all requests and one that does
 * not answer blocks none.
 */
final class FetchQueue {
    private static final long RETRY_INTERVAL_US = 1_000_000;
    private static final int MAX_TRIES = 6;
    private static final int MAX_KEYS_PER_REQUEST = 64;

    /** One version of the content of a key, and the members that have it. */
    private static final class Fetch {
        private final Object digest;
        private final Set<String> sources = new LinkedHashSet<>();
        private int tries;
        private long requestedUs;

        private Fetch(Object digest) {
            this.digest = digest;
        }
    }

    private final ShardSettings settings;
    private final Map<ShardMessage.SlotDigest, Fetch> slots = new LinkedHashMap<>();
    private final Map<Order.Key, Set<ShardMessage.SlotDigest>> slotsByKey = new LinkedHashMap<>();
    private final Map<Entry.Key, Fetch> entries = new LinkedHashMap<>();
    private double tokens;
    private long refilledUs;

    FetchQueue(ShardSettings settings, long nowUs) {
        this.settings = settings;
        this.refilledUs = nowUs;
    }

    /** Queues the fetch of a slot that {@code from} has. */
    void enqueue(ShardMessage.SlotDigest digest, String from) {
        slots.computeIfAbsent(digest, Fetch::new).sources.add(from);
        slotsByKey.computeIfAbsent(digest.key(), key -> new LinkedHashSet<>()).add(digest);
    }

    /** Queues the fetch of an entry that {@code from} has, unless the fetch of a newer version is queued. */
    void enqueue(ShardMessage.EntryDigest digest, String from) {
        Fetch fetch = entries.get(digest.key());
        if (fetch == null || isNewer(digest, (ShardMessage.EntryDigest) fetch.digest)) {
            fetch = new Fetch(digest);
            entries.put(digest.key(), fetch);
        }
        if (fetch.digest.equals(digest)) {
            fetch.sources.add(from);
        }
    }

    /**
     * Records that a slot has arrived from a member, and removes all queued versions of the slot that this member had: the slot received
     * equals them or includes them. Returns the removed versions with their sources.
     */
    Map<ShardMessage.SlotDigest, Set<String>> received(Order.Key key, String from) {
        Map<ShardMessage.SlotDigest, Set<String>> done = new LinkedHashMap<>();
        for (ShardMessage.SlotDigest digest : List.copyOf(slotsByKey.getOrDefault(key, Set.of()))) {
            if (slots.get(digest).sources.contains(from)) {
                done.put(digest, slots.get(digest).sources);
                remove(digest);
            }
        }
        return done;
    }

    /** Records that an entry has arrived, of whichever version: if it still differs, the next comparison queues it again. */
    void received(Entry.Key key) {
        entries.remove(key);
    }

    /**
     * Sends as many requests as the rate allows. Removes fetches that no source has answered after {@link #MAX_TRIES}, and passes the
     * slots among them to {@code abandoned} with their sources.
     */
    void sendRequests(long nowUs, Outbox out, BiConsumer<ShardMessage.SlotDigest, Set<String>> abandoned) {
        // The burst is limited to the tokens of a tenth of a second, because a larger one would defeat the rate limit.
        double burst = Math.max(1, settings.fetchesPerSecond() / 10.0);
        tokens = Math.min(burst, tokens + settings.fetchesPerSecond() * (nowUs - refilledUs) / 1e6);
        refilledUs = nowUs;
        Map<String, List<Order.Key>> slotsBySource = new TreeMap<>();
        for (Map.Entry<ShardMessage.SlotDigest, Fetch> each : List.copyOf(slots.entrySet())) {
            if (tokens < 1) {
                break;
            }
            String source = nextSource(each.getValue(), nowUs);
            if (source != null) {
                slotsBySource.computeIfAbsent(source, name -> new ArrayList<>()).add(each.getKey().key());
            } else if (each.getValue().tries > MAX_TRIES) {
                remove(each.getKey());
                abandoned.accept(each.getKey(), each.getValue().sources);
            }
        }
        Map<String, List<Entry.Key>> entriesBySource = new TreeMap<>();
        for (Map.Entry<Entry.Key, Fetch> each : List.copyOf(entries.entrySet())) {
            if (tokens < 1) {
                break;
            }
            String source = nextSource(each.getValue(), nowUs);
            if (source != null) {
                entriesBySource.computeIfAbsent(source, name -> new ArrayList<>()).add(each.getKey());
            } else if (each.getValue().tries > MAX_TRIES) {
                entries.remove(each.getKey());
            }
        }
        slotsBySource.forEach((source, keys) ->
                split(keys).forEach(part -> out.send(source, new ShardMessage.FetchRequest(part, List.of()))));
        entriesBySource.forEach((source, keys) ->
                split(keys).forEach(part -> out.send(source, new ShardMessage.FetchRequest(List.of(), part))));
    }

    /** Returns the number of queued fetches. */
    int size() {
        return slots.size() + entries.size();
    }

    /** Returns the member to request from now, or null if the last request is too recent or all tries are used up. */
    private String nextSource(Fetch fetch, long nowUs) {
        if (fetch.tries > 0 && nowUs - fetch.requestedUs < RETRY_INTERVAL_US) {
            return null;
        }
        if (++fetch.tries > MAX_TRIES) {
            return null;
        }
        fetch.requestedUs = nowUs;
        tokens--;
        // The hash makes the first source differ from key to key.
        List<String> sources = List.copyOf(fetch.sources);
        return sources.get(Math.floorMod(fetch.digest.hashCode() + fetch.tries, sources.size()));
    }

    private void remove(ShardMessage.SlotDigest digest) {
        slots.remove(digest);
        Set<ShardMessage.SlotDigest> sameKey = slotsByKey.get(digest.key());
        sameKey.remove(digest);
        if (sameKey.isEmpty()) {
            slotsByKey.remove(digest.key());
        }
    }

    private static boolean isNewer(ShardMessage.EntryDigest one, ShardMessage.EntryDigest other) {
        return one.incarnation() > other.incarnation()
                || one.incarnation() == other.incarnation() && one.version() >= other.version() && !one.equals(other);
    }

    private static <T> List<List<T>> split(List<T> keys) {
        List<List<T>> parts = new ArrayList<>();
        for (int from = 0; from < keys.size(); from += MAX_KEYS_PER_REQUEST) {
            parts.add(keys.subList(from, Math.min(from + MAX_KEYS_PER_REQUEST, keys.size())));
        }
        return parts;
    }
}
