package walkpost.fleet.copy;

import java.util.List;
import java.util.Map;

/** An event that the owner of a {@link Shard} hands to it. */
public sealed interface ShardEvent {
    /** Time has passed. Arrives about 20 times a second; a longer gap shows that the process was suspended. */
    record Tick() implements ShardEvent { }

    /**
     * The set of living members has changed.
     *
     * @param roundTripUs the living members except this one, with the round-trip time to each in microseconds: an upper bound, or the
     *     comparison period where it has not been measured
     */
    record LivePeers(Map<String, Long> roundTripUs) implements ShardEvent {
        public LivePeers {
            roundTripUs = Map.copyOf(roundTripUs);
        }
    }

    /** A message has arrived from the same shard of another member. */
    record Received(String from, ShardMessage message) implements ShardEvent { }

    /** This member writes an entry of its own; a null payload withdraws the entry. */
    record WriteEntry(String topic, String subject, String payload) implements ShardEvent { }

    /**
     * An operator gives an order to this member.
     *
     * @param replaces the id of the order to replace; empty for the first order on its key; null for whatever orders are in force,
     *     rivals included
     */
    record Propose(Order.Key key, String id, String replaces, String payload) implements ShardEvent { }

    /**
     * The owner restores the slots that the directory held at the start. This is the first event, if it arrives at all.
     *
     * @param awayUs how long the directory was not in use, by the wall clock; zero if the owner does not know
     */
    record Restored(List<Slot> slots, long awayUs) implements ShardEvent {
        public Restored {
            slots = List.copyOf(slots);
        }

        /** Restores a directory that was in use until now. */
        public Restored(List<Slot> slots) {
            this(slots, 0);
        }
    }

    /**
     * An observer of the fleet offers decided orders that this replica may lack: some of its orders, or all of them if the voters lost
     * theirs. The shard merges them; they do not count towards a majority.
     */
    record SlotsOffered(List<Slot> slots) implements ShardEvent {
        public SlotsOffered {
            slots = List.copyOf(slots);
        }
    }
}
