package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Gossips new entries: owns the keys of the entries that are still to be sent, and in how many more rounds. This is rumour mongering with
 * a counter, after Demers et al., "Epidemic algorithms for replicated database maintenance" (1987): each member sends a new entry to
 * {@code fanOut} others at a time, in total to a multiple of log n. Members that gossip misses get the entry by anti-entropy.
 */
final class Spread {
    /** If each of n members sends an entry c log n times, gossip misses a given member with probability n to the power of -c. */
    private static final double SENDS_PER_LOG_MEMBERS = 1.5;

    private final CopySettings settings;
    private final Neighbours peers;
    private final Map<Fact.Key, Integer> roundsLeft = new LinkedHashMap<>();

    Spread(CopySettings settings, Neighbours peers) {
        this.settings = settings;
        this.peers = peers;
    }

    /** Queues an entry for gossip, or restarts its rounds. */
    void add(Fact.Key key) {
        int others = peers.alive().size();
        roundsLeft.put(key, others == 0 ? 1 : (int) Math.ceil(SENDS_PER_LOG_MEMBERS * Math.log(1 + others) / settings.fanOut()));
    }

    /** Sends an entry that this member has just written to some members, without waiting for the next round. */
    void first(long nowUs, Fact.Key key, FactBook entryStore, Outbox out) {
        Fact entry = entryStore.get(key, nowUs);
        peers.draw(settings.fanOut()).forEach(to -> out.send(to, new CopyMessage.Facts(false, List.of(entry))));
    }

    /** Sends all queued entries to some members. */
    void round(long nowUs, FactBook entryStore, Outbox out) {
        if (roundsLeft.isEmpty()) {
            return;
        }
        List<Fact> entries =
                new ArrayList<>(roundsLeft.keySet().stream().map(key -> entryStore.get(key, nowUs)).filter(Objects::nonNull).toList());
        List<List<Fact>> parts = Sizes.parts(entries, Sizes::of);
        for (String to : peers.draw(settings.fanOut())) {
            parts.forEach(part -> out.send(to, new CopyMessage.Facts(false, part)));
        }
        roundsLeft.replaceAll((key, rounds) -> rounds - 1);
        roundsLeft.values().removeIf(rounds -> rounds <= 0);
    }
}
