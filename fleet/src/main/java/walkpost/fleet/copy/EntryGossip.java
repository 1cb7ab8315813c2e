package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Gossips new entries: owns the keys of the entries that are still to be sent, and in how many more rounds. This is rumour mongering with
 * a counter, after Demers et al., "Epidemic algorithms for replicated database maintenance" (1987): each member sends a new entry to
 * {@code gossipFanOut} others at a time, in total to a multiple of log n. Members that gossip misses get the entry by anti-entropy.
 */
final class EntryGossip {
    /** If each of n members sends an entry c log n times, gossip misses a given member with probability n to the power of -c. */
    private static final double SENDS_PER_LOG_MEMBERS = 1.5;

    private final ShardSettings settings;
    private final PeerSet peers;
    private final Map<Entry.Key, Integer> roundsLeft = new LinkedHashMap<>();

    EntryGossip(ShardSettings settings, PeerSet peers) {
        this.settings = settings;
        this.peers = peers;
    }

    /** Queues an entry for gossip, or restarts its rounds. */
    void enqueue(Entry.Key key) {
        int others = peers.aliveOthers().size();
        roundsLeft.put(key, others == 0 ? 1 : (int) Math.ceil(SENDS_PER_LOG_MEMBERS * Math.log(1 + others) / settings.gossipFanOut()));
    }

    /** Sends an entry that this member has just written to some members, without waiting for the next round. */
    void sendAtOnce(long nowUs, Entry.Key key, EntryStore entryStore, Outbox out) {
        Entry entry = entryStore.get(key, nowUs);
        peers.drawAlive(settings.gossipFanOut()).forEach(to -> out.send(to, new ShardMessage.Entries(false, List.of(entry))));
    }

    /** Sends all queued entries to some members. */
    void sendRound(long nowUs, EntryStore entryStore, Outbox out) {
        if (roundsLeft.isEmpty()) {
            return;
        }
        List<Entry> entries =
                new ArrayList<>(roundsLeft.keySet().stream().map(key -> entryStore.get(key, nowUs)).filter(Objects::nonNull).toList());
        List<List<Entry>> parts = MessageSizes.split(entries, MessageSizes::bytesOf);
        for (String to : peers.drawAlive(settings.gossipFanOut())) {
            parts.forEach(part -> out.send(to, new ShardMessage.Entries(false, part)));
        }
        roundsLeft.replaceAll((key, rounds) -> rounds - 1);
        roundsLeft.values().removeIf(rounds -> rounds <= 0);
    }
}
