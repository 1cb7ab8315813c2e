package walkpost.fleet.copy;

import java.util.List;
import java.util.Map;

/** Something that happened to a shard. */
public sealed interface CopyEvent {
    /** Time has passed; comes some 20 times a second. A gap tells that the process stood still. */
    record Tick() implements CopyEvent { }

    /** Who lives, this member apart, and the round trip to each in microseconds (an upper bound; the period where unmeasured). */
    record Peers(Map<String, Long> roundTripUs) implements CopyEvent {
        public Peers {
            roundTripUs = Map.copyOf(roundTripUs);
        }
    }

    /** A message has come from the same shard of a member. */
    record Received(String from, CopyMessage message) implements CopyEvent { }

    /** This member, the writer, has seen something; a null payload withdraws it. */
    record Tell(String topic, String subject, String payload) implements CopyEvent { }

    /**
     * An operator's order to this member. {@code replaces} is the id of what it is to replace, empty for the first on its key, null for
     * whatever stands, rivals included.
     */
    record Propose(Order.Key key, String id, String replaces, String payload) implements CopyEvent { }

    /**
     * What the directory held at the start; comes first, or never.
     *
     * @param awayUs how long the directory was not in use, by the wall clock; zero where the owner does not know
     */
    record Restored(List<Slot> slots, long awayUs) implements CopyEvent {
        public Restored {
            slots = List.copyOf(slots);
        }

        /** What the directory held, not long ago. */
        public Restored(List<Slot> slots) {
            this(slots, 0);
        }
    }

    /**
     * Decided orders that an observer of the fleet holds, and this copy perhaps does not: a part of them, or all where the voters lost
     * theirs. They are joined, and count for no majority.
     */
    record Offered(List<Slot> slots) implements CopyEvent {
        public Offered {
            slots = List.copyOf(slots);
        }
    }
}
