package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.member.Life;

/** What this observer has told of itself: owns its entries, and reports them to its feeds, which keep them for whoever asks. */
final class OwnEntries {
    /** So many entries an observer may have told at a time; one more is refused. */
    static final int MOST = 64;

    private record Told(String payload, long version, long seenUs) { }

    private final Life self;
    private final Counts counts;
    private final Map<Entry.Key, Told> entries = new LinkedHashMap<>();
    private final Map<Entry.Key, Told> news = new LinkedHashMap<>();
    private long version;

    OwnEntries(Life self, Counts counts) {
        this.self = self;
        this.counts = counts;
    }

    void write(long nowUs, String topic, String subject, String payload) {
        var key = new Entry.Key(topic, subject, self.name());
        if (MessageSizes.utf8Length(topic) > MessageSizes.MAX_TOPIC_BYTES
                || MessageSizes.utf8Length(subject) > MessageSizes.MAX_SUBJECT_BYTES
                || MessageSizes.utf8Length(payload) > MessageSizes.MAX_ENTRY_PAYLOAD_BYTES
                || !entries.containsKey(key) && entries.size() >= MOST) {
            counts.count("facts.refused");
            return;
        }
        var told = new Told(payload, ++version, nowUs);
        entries.put(key, told);
        news.put(key, told);
        if (payload == null) {
            entries.remove(key);
        }
    }

    /** Reports what is new to all feeds. */
    void tick(long nowUs, Collection<String> feeds, Feeds ways, Send send) {
        if (!news.isEmpty()) {
            feeds.forEach(to -> report(nowUs, to, news, ways, send));
            news.clear();
        }
    }

    /** Reports all to one that has just become a feed. */
    void all(long nowUs, String to, Feeds ways, Send send) {
        report(nowUs, to, entries, ways, send);
    }

    private void report(long nowUs, String to, Map<Entry.Key, Told> told, Feeds ways, Send send) {
        List<Entry> all = new ArrayList<>();
        // The way counts as well, by its round trip: an age is never too low.
        told.forEach((key, entry) -> all.add(new Entry(key, self.incarnation(), entry.version, entry.payload,
                nowUs - entry.seenUs + ways.roundTripUs(to))));
        MessageSizes.split(all, MessageSizes::bytesOf).forEach(part -> send.to(to, new ObserveMessage.Report(part)));
    }
}
