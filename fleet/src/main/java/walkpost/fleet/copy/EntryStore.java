package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.fleet.member.Life;

/** The entries of a shard: owns them, their ages, their hash tree, and the versions of the entries that this member writes. */
final class EntryStore {
    /** Higher incarnations and versions are refused, so that a faulty writer cannot exhaust its own numbers or those of its next life. */
    static final long LIMIT = Long.MAX_VALUE - (1L << 32);

    private static final Comparator<Entry> BY_VERSION = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version)
            .thenComparing(Entry::payload, Comparator.nullsFirst(Comparator.naturalOrder()));

    /** An entry and the time, on this member's clock, at which its writer observed the content. */
    private static final class StoredEntry {
        private final Entry entry;
        private final long observedUs;
        private boolean stale;

        private StoredEntry(Entry entry, long observedUs) {
            this.entry = entry;
            this.observedUs = observedUs;
        }
    }

    /** The incarnation of a writer and the keys of its entries. */
    private static final class Writer {
        private long incarnation;
        private final Set<Entry.Key> keys = new LinkedHashSet<>();
    }

    /** The time at which the age of an entry is to be checked; the sequence number orders checks due at the same time. */
    private record AgeCheck(long atUs, long sequence, StoredEntry stored) { }

    private final ShardSettings settings;
    private final PeerSet peers;
    private final ShardCounters counters;
    private final String self;
    private final Consumer<Entry.Key> onNewEntry;
    private final Map<Entry.Key, StoredEntry> entries = new LinkedHashMap<>();
    private final Map<String, Writer> writers = new HashMap<>();
    private final HashTree<Entry.Key> tree = new HashTree<>();
    private final PriorityQueue<AgeCheck> ageChecks =
            new PriorityQueue<>(Comparator.comparingLong(AgeCheck::atUs).thenComparingLong(AgeCheck::sequence));
    private long incarnation;
    private long version;
    private long checkSequence;

    /** Creates an empty store. {@code onNewEntry} receives the key of each entry that has to be gossiped. */
    EntryStore(ShardSettings settings, PeerSet peers, ShardCounters counters, Life self, Consumer<Entry.Key> onNewEntry) {
        this.settings = settings;
        this.peers = peers;
        this.counters = counters;
        this.self = self.name();
        this.incarnation = self.incarnation();
        this.onNewEntry = onNewEntry;
    }

    /** Writes an entry of this member and returns its key, or null if a part of it is too long, so that it is refused. */
    Entry.Key write(long nowUs, String topic, String subject, String payload) {
        if (MessageSizes.utf8Length(topic) > MessageSizes.MAX_TOPIC_BYTES
                || MessageSizes.utf8Length(subject) > MessageSizes.MAX_SUBJECT_BYTES
                || MessageSizes.utf8Length(payload) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES) {
            counters.increment("facts.too_long");
            return null;
        }
        Entry.Key key = new Entry.Key(topic, subject, self);
        put(new Entry(key, incarnation, ++version, payload, 0), nowUs);
        onNewEntry.accept(key);
        return key;
    }

    /**
     * Takes in an entry from another member, with its age at {@code nowUs}.
     *
     * @param gossip whether to gossip the entry further if it is new; false for a fetched entry
     */
    void receive(long nowUs, Entry entry, boolean gossip, Outbox out) {
        if (entry.incarnation() < 0 || entry.incarnation() > LIMIT || entry.version() < 0 || entry.version() > LIMIT || entry.ageUs() < 0
                || entry.ageUs() > CatchUpState.NEVER_US
                || MessageSizes.utf8Length(entry.payload()) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES) {
            counters.increment("facts.refused");
            return;
        }
        if (entry.key().writer().equals(self)) {
            correctOwnEntry(nowUs, entry);
            return;
        }
        if (!isNewer(entry)) {
            counters.increment("facts.known");
            return;
        }
        Writer writer = writers.get(entry.key().writer());
        if (writer != null && entry.incarnation() < writer.incarnation || isExpired(entry)) {
            counters.increment("facts.over");
            return;
        }
        if (writer != null && entry.incarnation() > writer.incarnation) {
            withdrawFormerLife(nowUs, writer, entry.key(), out);
        }
        put(entry, nowUs - entry.ageUs());
        out.add(new ShardAction.EntryReceived(entry));
        counters.increment("facts.heard");
        if (gossip) {
            onNewEntry.accept(entry.key());
        }
    }

    /**
     * Reports entries that have become stale, and removes entries that are older than twice their bound and either withdrawn or without
     * a living writer.
     */
    void checkAges(long nowUs, Outbox out) {
        while (!ageChecks.isEmpty() && ageChecks.peek().atUs() <= nowUs) {
            StoredEntry stored = ageChecks.poll().stored();
            Entry.Key key = stored.entry.key();
            if (entries.get(key) != stored) {
                continue;
            }
            long boundUs = settings.stalenessBoundUs(key.topic());
            long ageUs = nowUs - stored.observedUs;
            if (!stored.stale) {
                stored.stale = true;
                if (stored.entry.payload() != null && !key.writer().equals(self)) {
                    out.add(new ShardAction.EntryStale(key, ageUs));
                    counters.increment("facts.stale");
                }
            }
            if (ageUs > 2 * boundUs && isExpired(withCurrentAge(stored, nowUs))) {
                remove(key);
            } else {
                scheduleCheck(stored, ageUs <= 2 * boundUs ? stored.observedUs + 2 * boundUs + 1 : nowUs + boundUs);
            }
        }
    }

    /** Returns the entry of a key with its age at {@code nowUs}, or null if there is none. */
    Entry get(Entry.Key key, long nowUs) {
        StoredEntry stored = entries.get(key);
        return stored == null ? null : withCurrentAge(stored, nowUs);
    }

    /** Returns the entries of a topic that are not withdrawn, with their ages at {@code nowUs}. */
    List<Entry> entries(String topic, long nowUs) {
        List<Entry> found = new ArrayList<>();
        entries.forEach((key, stored) -> {
            if (key.topic().equals(topic) && stored.entry.payload() != null) {
                found.add(withCurrentAge(stored, nowUs));
            }
        });
        return found;
    }

    HashTree<Entry.Key> tree() {
        return tree;
    }

    /** Returns the digest of the entry of a key, for comparison by other members, or null if there is none. */
    ShardMessage.EntryDigest digest(Entry.Key key) {
        StoredEntry stored = entries.get(key);
        return stored == null ? null
                : new ShardMessage.EntryDigest(key, stored.entry.incarnation(), stored.entry.version(),
                        KeyHash.hash(stored.entry.payload()));
    }

    /** Returns whether the entry that another member holds is newer than the one here, or differs from it under the same version. */
    boolean isMissing(ShardMessage.EntryDigest theirs) {
        ShardMessage.EntryDigest mine = digest(theirs.key());
        if (mine == null) {
            Writer writer = writers.get(theirs.key().writer());
            return writer == null || theirs.incarnation() >= writer.incarnation;
        }
        int order = Comparator.comparingLong(ShardMessage.EntryDigest::incarnation).thenComparingLong(ShardMessage.EntryDigest::version)
                .compare(theirs, mine);
        return order > 0 || order == 0 && theirs.hash() != mine.hash();
    }

    int size() {
        return entries.size();
    }

    /**
     * Corrects an entry under this member's name that another member holds and this member did not write in this life: the entry stems
     * from a former life, or was never written. The writer has the last word, so this member writes a newer version. A withdrawn entry
     * that is unknown here needs no correction. An entry of a higher incarnation always does: this member raises its incarnation above
     * it and writes all its entries again, because members that hold such an entry refuse all entries of a lower incarnation.
     */
    private void correctOwnEntry(long nowUs, Entry received) {
        StoredEntry mine = entries.get(received.key());
        boolean known = mine == null ? received.payload() == null : BY_VERSION.compare(mine.entry, received) >= 0;
        boolean higherIncarnation = received.incarnation() > incarnation;
        if (known && !higherIncarnation) {
            return;
        }
        counters.increment("facts.answered");
        if (higherIncarnation) {
            incarnation = received.incarnation() + 1;
            List.copyOf(entries.values()).stream().filter(stored -> stored.entry.key().writer().equals(self)).forEach(stored -> {
                put(new Entry(stored.entry.key(), incarnation, ++version, stored.entry.payload(), 0), stored.observedUs);
                onNewEntry.accept(stored.entry.key());
            });
        }
        if (known) {
            return;
        }
        if (received.incarnation() == incarnation) {
            version = Math.max(version, received.version());
        }
        if (version >= LIMIT) {
            incarnation++;
            version = 0;
        }
        put(new Entry(received.key(), incarnation, ++version, mine == null ? null : mine.entry.payload(), 0),
                mine == null ? nowUs : mine.observedUs);
        onNewEntry.accept(received.key());
    }

    /** Withdraws all entries of a writer's former life, because the writer has a new incarnation. */
    private void withdrawFormerLife(long nowUs, Writer writer, Entry.Key rewritten, Outbox out) {
        for (Entry.Key key : List.copyOf(writer.keys)) {
            Entry former = get(key, nowUs);
            remove(key);
            if (!key.equals(rewritten) && former.payload() != null) {
                out.add(new ShardAction.EntryReceived(new Entry(key, former.incarnation(), former.version(), null, former.ageUs())));
            }
        }
    }

    private boolean isNewer(Entry entry) {
        StoredEntry mine = entries.get(entry.key());
        return mine == null || BY_VERSION.compare(entry, mine.entry) > 0;
    }

    /** Returns whether an entry is older than twice its bound, and is withdrawn or has no living writer. */
    private boolean isExpired(Entry entry) {
        return entry.ageUs() > 2 * settings.stalenessBoundUs(entry.key().topic())
                && (entry.payload() == null || !peers.isAlive(entry.key().writer()));
    }

    private void put(Entry entry, long observedUs) {
        StoredEntry stored = new StoredEntry(entry, observedUs);
        entries.put(entry.key(), stored);
        tree.put(entry.key(), keyHash(entry.key()),
                KeyHash.hash(Long.toString(entry.incarnation()), Long.toString(entry.version()), entry.payload()));
        Writer writer = writers.computeIfAbsent(entry.key().writer(), name -> new Writer());
        writer.incarnation = entry.incarnation();
        writer.keys.add(entry.key());
        scheduleCheck(stored, observedUs + settings.stalenessBoundUs(entry.key().topic()) + 1);
    }

    private void remove(Entry.Key key) {
        entries.remove(key);
        tree.remove(key, keyHash(key));
        Writer writer = writers.get(key.writer());
        writer.keys.remove(key);
        if (writer.keys.isEmpty()) {
            writers.remove(key.writer());
        }
    }

    private void scheduleCheck(StoredEntry stored, long atUs) {
        ageChecks.add(new AgeCheck(atUs, ++checkSequence, stored));
    }

    private static Entry withCurrentAge(StoredEntry stored, long nowUs) {
        Entry entry = stored.entry;
        return new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), Math.max(nowUs - stored.observedUs, 0));
    }

    private static long keyHash(Entry.Key key) {
        return KeyHash.hash(key.topic(), key.subject(), key.writer());
    }
}
