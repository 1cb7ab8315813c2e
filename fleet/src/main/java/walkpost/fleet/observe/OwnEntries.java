package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.member.Life;

/** What this observer has told of itself: owns its facts, and reports them to its feeds, which keep them for whoever asks. */
final class OwnEntries {
    /** So many facts an observer may have told at a time; one more is refused. */
    static final int MOST = 64;

    private record OwnEntry(String payload, long version, long seenUs) { }

    private final Life self;
    private final ObserveCounters counters;
    private final Map<Entry.Key, OwnEntry> facts = new LinkedHashMap<>();
    private final Map<Entry.Key, OwnEntry> news = new LinkedHashMap<>();
    private long version;

    OwnEntries(Life self, ObserveCounters counters) {
        this.self = self;
        this.counters = counters;
    }

    void write(long nowUs, String topic, String subject, String payload) {
        var key = new Entry.Key(topic, subject, self.name());
        if (MessageSizes.utf8Length(topic) > MessageSizes.TOPIC || MessageSizes.utf8Length(subject) > MessageSizes.SUBJECT || MessageSizes.utf8Length(payload) > MessageSizes.FACT
                || !facts.containsKey(key) && facts.size() >= MOST) {
            counters.increment("facts.refused");
            return;
        }
        var told = new OwnEntry(payload, ++version, nowUs);
        facts.put(key, told);
        news.put(key, told);
        if (payload == null) {
            facts.remove(key);
        }
    }

    /** Sends what is new to all feeds. */
    void tick(long nowUs, Collection<String> feeds, FeedSubscriptions ways, MessageSender sender) {
        if (!news.isEmpty()) {
            feeds.forEach(to -> report(nowUs, to, news, ways, sender));
            news.clear();
        }
    }

    /** Sends all to one that has just become a feed. */
    void all(long nowUs, String to, FeedSubscriptions ways, MessageSender sender) {
        report(nowUs, to, facts, ways, sender);
    }

    private void report(long nowUs, String to, Map<Entry.Key, OwnEntry> told, FeedSubscriptions ways, MessageSender sender) {
        List<Entry> all = new ArrayList<>();
        // The way counts as well, by its round trip: an age is never too low.
        told.forEach((key, fact) -> all.add(new Entry(key, self.incarnation(), fact.version, fact.payload,
                nowUs - fact.seenUs + ways.roundTripUs(to))));
        MessageSizes.split(all, MessageSizes::bytesOf).forEach(part -> sender.send(to, new ObserveMessage.Report(part)));
    }
}
