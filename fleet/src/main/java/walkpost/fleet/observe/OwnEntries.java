package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.member.Life;

/** The entries that this observer writes: owns them and reports them to the feeds, which keep them for queries. */
final class OwnEntries {
    /** How many entries an observer may have at a time; one more is refused. */
    static final int MAX_ENTRIES = 64;

    private record OwnEntry(String payload, long version, long writtenUs) { }

    private final Life self;
    private final ObserveCounters counters;
    private final Map<Entry.Key, OwnEntry> entries = new LinkedHashMap<>();
    private final Map<Entry.Key, OwnEntry> unreported = new LinkedHashMap<>();
    private long lastVersion;

    OwnEntries(Life self, ObserveCounters counters) {
        this.self = self;
        this.counters = counters;
    }

    /** Writes an entry; a null payload withdraws it. An entry that is too long, or one too many, is refused and counted. */
    void write(long nowUs, String topic, String subject, String payload) {
        var key = new Entry.Key(topic, subject, self.name());
        if (MessageSizes.utf8Length(topic) > MessageSizes.MAX_TOPIC_BYTES
                || MessageSizes.utf8Length(subject) > MessageSizes.MAX_SUBJECT_BYTES
                || MessageSizes.utf8Length(payload) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES
                || !entries.containsKey(key) && entries.size() >= MAX_ENTRIES) {
            counters.increment("facts.refused");
            return;
        }
        var entry = new OwnEntry(payload, ++lastVersion, nowUs);
        entries.put(key, entry);
        unreported.put(key, entry);
        if (payload == null) {
            entries.remove(key);
        }
    }

    /** Reports the entries written since the last tick to all feeds. */
    void tick(long nowUs, Collection<String> feeds, FeedSubscriptions subscriptions, MessageSender sender) {
        if (!unreported.isEmpty()) {
            feeds.forEach(to -> report(nowUs, to, unreported, subscriptions, sender));
            unreported.clear();
        }
    }

    /** Reports all entries to a voter that has just become a feed. */
    void reportAll(long nowUs, String to, FeedSubscriptions subscriptions, MessageSender sender) {
        report(nowUs, to, entries, subscriptions, sender);
    }

    private void report(long nowUs, String to, Map<Entry.Key, OwnEntry> reported, FeedSubscriptions subscriptions, MessageSender sender) {
        List<Entry> all = new ArrayList<>();
        // The age includes the round-trip time to the feed, so that it is never too low.
        reported.forEach((key, entry) -> all.add(new Entry(key, self.incarnation(), entry.version, entry.payload,
                nowUs - entry.writtenUs + subscriptions.roundTripUs(to))));
        MessageSizes.split(all, MessageSizes::bytesOf).forEach(part -> sender.send(to, new ObserveMessage.ReportEntries(part)));
    }
}
