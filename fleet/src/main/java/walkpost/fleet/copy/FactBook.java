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

/** The facts of a shard: owns them, their ages, their tree of hashes, and this member's own versions. */
final class FactBook {
    /** Figures above this are refused, so that a writer gone mad can't end its own counting, or that of its next life. */
    static final long LIMIT = Long.MAX_VALUE - (1L << 32);

    private static final Comparator<Fact> NEWER = Comparator.comparingLong(Fact::incarnation).thenComparingLong(Fact::version)
            .thenComparing(Fact::payload, Comparator.nullsFirst(Comparator.naturalOrder()));

    /** A fact and the time on this member's clock at which its writer saw it. */
    private static final class Entry {
        private final Fact fact;
        private final long seenUs;
        private boolean stale;

        private Entry(Fact fact, long seenUs) {
            this.fact = fact;
            this.seenUs = seenUs;
        }
    }

    /** What is held of one writer. */
    private static final class Writer {
        private long incarnation;
        private final Set<Fact.Key> keys = new LinkedHashSet<>();
    }

    /** When an entry is to be looked at; the number keeps equal times in order. */
    private record Due(long atUs, long number, Entry entry) { }

    private final CopySettings settings;
    private final Neighbours neighbours;
    private final Figures figures;
    private final String self;
    private final Consumer<Fact.Key> news;
    private final Map<Fact.Key, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Writer> writers = new HashMap<>();
    private final HashTree<Fact.Key> tree = new HashTree<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::number));
    private long incarnation;
    private long version;
    private long dueNumber;

    /** Tells {@code news} of each key that is new here and has to be passed on. */
    FactBook(CopySettings settings, Neighbours neighbours, Figures figures, Life self, Consumer<Fact.Key> news) {
        this.settings = settings;
        this.neighbours = neighbours;
        this.figures = figures;
        this.self = self.name();
        this.incarnation = self.incarnation();
        this.news = news;
    }

    /** Writes a fact of this member's own; returns its key, or null where it is too long and was refused. */
    Fact.Key tell(long nowUs, String topic, String subject, String payload) {
        if (Sizes.utf8(topic) > Sizes.TOPIC || Sizes.utf8(subject) > Sizes.SUBJECT || Sizes.utf8(payload) > Sizes.FACT) {
            figures.count("facts.too_long");
            return null;
        }
        Fact.Key key = new Fact.Key(topic, subject, self);
        put(new Fact(key, incarnation, ++version, payload, 0), nowUs);
        news.accept(key);
        return key;
    }

    /**
     * Takes a fact from another member, its age counted to now.
     *
     * @param pass whether it is news, to be passed on, and not fetched
     */
    void take(long nowUs, Fact fact, boolean pass, Outbox out) {
        if (fact.incarnation() < 0 || fact.incarnation() > LIMIT || fact.version() < 0 || fact.version() > LIMIT || fact.ageUs() < 0
                || fact.ageUs() > Touch.NEVER_US || Sizes.utf8(fact.payload()) > Sizes.FACT) {
            figures.count("facts.refused");
            return;
        }
        if (fact.key().writer().equals(self)) {
            answer(nowUs, fact);
            return;
        }
        if (!newer(fact)) {
            figures.count("facts.known");
            return;
        }
        Writer writer = writers.get(fact.key().writer());
        if (writer != null && fact.incarnation() < writer.incarnation || over(fact)) {
            figures.count("facts.over");
            return;
        }
        if (writer != null && fact.incarnation() > writer.incarnation) {
            endFormerLife(nowUs, writer, fact.key(), out);
        }
        put(fact, nowUs - fact.ageUs());
        out.tell(new CopyAction.Heard(fact));
        figures.count("facts.heard");
        if (pass) {
            news.accept(fact.key());
        }
    }

    /** Tells what has grown older than its bound, and drops what ended: withdrawn, or its writer gone, twice the bound ago. */
    void due(long nowUs, Outbox out) {
        while (!dues.isEmpty() && dues.peek().atUs() <= nowUs) {
            Entry entry = dues.poll().entry();
            Fact.Key key = entry.fact.key();
            if (entries.get(key) != entry) {
                continue;
            }
            long bound = settings.bound(key.topic());
            long age = nowUs - entry.seenUs;
            if (!entry.stale) {
                entry.stale = true;
                if (entry.fact.payload() != null && !key.writer().equals(self)) {
                    out.tell(new CopyAction.Stale(key, age));
                    figures.count("facts.stale");
                }
            }
            if (age > 2 * bound && over(counted(entry, nowUs))) {
                remove(key);
            } else {
                lookAt(entry, age <= 2 * bound ? entry.seenUs + 2 * bound + 1 : nowUs + bound);
            }
        }
    }

    /** Returns a fact with its age counted to now, or null. */
    Fact get(Fact.Key key, long nowUs) {
        Entry entry = entries.get(key);
        return entry == null ? null : counted(entry, nowUs);
    }

    /** Returns the facts on a topic, their ages counted to now. */
    List<Fact> facts(String topic, long nowUs) {
        List<Fact> found = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (key.topic().equals(topic) && entry.fact.payload() != null) {
                found.add(counted(entry, nowUs));
            }
        });
        return found;
    }

    HashTree<Fact.Key> tree() {
        return tree;
    }

    /** Returns how new a fact is, for others to compare, or null. */
    CopyMessage.FactStamp stamp(Fact.Key key) {
        Entry entry = entries.get(key);
        return entry == null ? null
                : new CopyMessage.FactStamp(key, entry.fact.incarnation(), entry.fact.version(), Shards.hash(entry.fact.payload()));
    }

    /** Returns whether another member holds something newer than this one, or something else of the same version. */
    boolean wants(CopyMessage.FactStamp stamp) {
        CopyMessage.FactStamp mine = stamp(stamp.key());
        if (mine == null) {
            Writer writer = writers.get(stamp.key().writer());
            return writer == null || stamp.incarnation() >= writer.incarnation;
        }
        int order = Comparator.comparingLong(CopyMessage.FactStamp::incarnation).thenComparingLong(CopyMessage.FactStamp::version)
                .compare(stamp, mine);
        return order > 0 || order == 0 && stamp.hash() != mine.hash();
    }

    int size() {
        return entries.size();
    }

    /**
     * This member's own fact, as others have it: a former life's, or one that was never written. Whoever writes has the last word. What
     * is withdrawn needs no answer, but one of a higher incarnation has to be outdone: those who hold it refuse all of this life's.
     */
    private void answer(long nowUs, Fact heard) {
        Entry mine = entries.get(heard.key());
        boolean known = mine == null ? heard.payload() == null : NEWER.compare(mine.fact, heard) >= 0;
        boolean outdone = heard.incarnation() > incarnation;
        if (known && !outdone) {
            return;
        }
        figures.count("facts.answered");
        if (outdone) {
            incarnation = heard.incarnation() + 1;
            List.copyOf(entries.values()).stream().filter(entry -> entry.fact.key().writer().equals(self)).forEach(entry -> {
                put(new Fact(entry.fact.key(), incarnation, ++version, entry.fact.payload(), 0), entry.seenUs);
                news.accept(entry.fact.key());
            });
        }
        if (known) {
            return;
        }
        if (heard.incarnation() == incarnation) {
            version = Math.max(version, heard.version());
        }
        if (version >= LIMIT) {
            incarnation++;
            version = 0;
        }
        put(new Fact(heard.key(), incarnation, ++version, mine == null ? null : mine.fact.payload(), 0),
                mine == null ? nowUs : mine.seenUs);
        news.accept(heard.key());
    }

    /** The writer has a new life: what it said in the one before is withdrawn. */
    private void endFormerLife(long nowUs, Writer writer, Fact.Key but, Outbox out) {
        for (Fact.Key key : List.copyOf(writer.keys)) {
            Fact former = get(key, nowUs);
            remove(key);
            if (!key.equals(but) && former.payload() != null) {
                out.tell(new CopyAction.Heard(new Fact(key, former.incarnation(), former.version(), null, former.ageUs())));
            }
        }
    }

    private boolean newer(Fact fact) {
        Entry mine = entries.get(fact.key());
        return mine == null || NEWER.compare(fact, mine.fact) > 0;
    }

    /** Whether a fact has ended for good: twice its bound old, and withdrawn or without a writer. */
    private boolean over(Fact fact) {
        return fact.ageUs() > 2 * settings.bound(fact.key().topic())
                && (fact.payload() == null || !neighbours.alive(fact.key().writer()));
    }

    private void put(Fact fact, long seenUs) {
        Entry entry = new Entry(fact, seenUs);
        entries.put(fact.key(), entry);
        tree.put(fact.key(), keyHash(fact.key()),
                Shards.hash(Long.toString(fact.incarnation()), Long.toString(fact.version()), fact.payload()));
        Writer writer = writers.computeIfAbsent(fact.key().writer(), name -> new Writer());
        writer.incarnation = fact.incarnation();
        writer.keys.add(fact.key());
        lookAt(entry, seenUs + settings.bound(fact.key().topic()) + 1);
    }

    private void remove(Fact.Key key) {
        entries.remove(key);
        tree.remove(key, keyHash(key));
        Writer writer = writers.get(key.writer());
        writer.keys.remove(key);
        if (writer.keys.isEmpty()) {
            writers.remove(key.writer());
        }
    }

    private void lookAt(Entry entry, long atUs) {
        dues.add(new Due(atUs, ++dueNumber, entry));
    }

    private static Fact counted(Entry entry, long nowUs) {
        Fact fact = entry.fact;
        return new Fact(fact.key(), fact.incarnation(), fact.version(), fact.payload(), Math.max(nowUs - entry.seenUs, 0));
    }

    private static long keyHash(Fact.Key key) {
        return Shards.hash(key.topic(), key.subject(), key.writer());
    }
}
