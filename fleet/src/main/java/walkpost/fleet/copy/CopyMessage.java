package walkpost.fleet.copy;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;

/**
 * What one shard says to the same shard of another member. Unknown fields are passed over. Each stays below 32 KiB: what is longer is
 * sent in parts. Equality is of no use among those with arrays.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CopyMessage.Facts.class, name = "f"),
    @JsonSubTypes.Type(value = CopyMessage.Propose.class, name = "p"),
    @JsonSubTypes.Type(value = CopyMessage.Promised.class, name = "py"),
    @JsonSubTypes.Type(value = CopyMessage.Declined.class, name = "pn"),
    @JsonSubTypes.Type(value = CopyMessage.Forget.class, name = "pf"),
    @JsonSubTypes.Type(value = CopyMessage.Hold.class, name = "h"),
    @JsonSubTypes.Type(value = CopyMessage.Held.class, name = "hy"),
    @JsonSubTypes.Type(value = CopyMessage.Compare.class, name = "c"),
    @JsonSubTypes.Type(value = CopyMessage.Nodes.class, name = "cn"),
    @JsonSubTypes.Type(value = CopyMessage.Leaves.class, name = "cl"),
    @JsonSubTypes.Type(value = CopyMessage.SlotStamps.class, name = "cs"),
    @JsonSubTypes.Type(value = CopyMessage.FactStamps.class, name = "cf"),
    @JsonSubTypes.Type(value = CopyMessage.Want.class, name = "w"),
    @JsonSubTypes.Type(value = CopyMessage.Slots.class, name = "s")
})
public sealed interface CopyMessage {
    /** Facts, their ages counted to the sending. {@code fetched} where they were asked for: then they are no news to pass on. */
    record Facts(boolean fetched, List<Fact> facts) implements CopyMessage {
        public Facts {
            facts = List.copyOf(facts);
        }
    }

    /** Step 1 of an order: the coordinator's round, counted up in its life, and its slot as the order found it. */
    record Propose(long round, Order order, Slot slot) implements CopyMessage {
        public Propose {
            Objects.requireNonNull(order, "order");
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** Step 2: its version is kept for this order. */
    record Promised(long round, String id) implements CopyMessage { }

    /** Step 2: no promise; {@code slot} where the answerer knows of what the coordinator does not, else null. */
    record Declined(long round, String id, Reason why, String other, Slot slot) implements CopyMessage {
        public Declined {
            Objects.requireNonNull(why, "why");
        }
    }

    /** The coordinator has given a round up for good: its promise is void. */
    record Forget(long round, Order.Key key, long incarnation) implements CopyMessage {
        public Forget {
            Objects.requireNonNull(key, "key");
        }
    }

    /** Step 4: the order is decided; here is the slot in which it stands, or stood. */
    record Hold(long round, String id, Slot slot) implements CopyMessage {
        public Hold {
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** Step 4: it stands here, on disk where there is one. */
    record Held(long round, String id) implements CopyMessage { }

    /**
     * The roots of a copy, to be compared; {@code awayUs} is how long ago the sender last was level. The root of facts is null where
     * they are not to be compared: of facts, which change all the time, some are always on their way.
     */
    record Compare(long round, long awayUs, long slots, Long facts) implements CopyMessage { }

    /** The nodes of those trees whose roots differ; empty where they do not. */
    record Nodes(long round, long awayUs, long[] slots, long[] facts) implements CopyMessage {
        public Nodes {
            Objects.requireNonNull(slots, "slots");
            Objects.requireNonNull(facts, "facts");
        }
    }

    /** The asker's leaves below the nodes that differ, sixteen for each. */
    record Leaves(long round, int[] slotNodes, long[] slots, int[] factNodes, long[] facts) implements CopyMessage {
        public Leaves {
            Objects.requireNonNull(slotNodes, "slotNodes");
            Objects.requireNonNull(slots, "slots");
            Objects.requireNonNull(factNodes, "factNodes");
            Objects.requireNonNull(facts, "facts");
        }
    }

    /** The answerer's slots in leaves that differ; one of so many parts, as it has to be known that none is missing. */
    record SlotStamps(long round, int part, int parts, List<SlotStamp> stamps) implements CopyMessage {
        public SlotStamps {
            stamps = List.copyOf(stamps);
        }
    }

    /** The answerer's facts in leaves that differ. */
    record FactStamps(long round, List<FactStamp> stamps) implements CopyMessage {
        public FactStamps {
            stamps = List.copyOf(stamps);
        }
    }

    /** Asks for some slots and facts. */
    record Want(List<Order.Key> slots, List<Fact.Key> facts) implements CopyMessage {
        public Want {
            slots = List.copyOf(slots);
            facts = List.copyOf(facts);
        }
    }

    /** Slots that were asked for; an empty one where there is none any more. */
    record Slots(long awayUs, List<Aged> slots) implements CopyMessage {
        public Slots {
            slots = List.copyOf(slots);
        }
    }

    /** Which slot, and the hash of what it holds. */
    record SlotStamp(Order.Key key, long hash) {
        public SlotStamp {
            Objects.requireNonNull(key, "key");
        }
    }

    /** Which fact, how new, and a hash of its payload. */
    record FactStamp(Fact.Key key, long incarnation, long version, long hash) {
        public FactStamp {
            Objects.requireNonNull(key, "key");
        }
    }

    /** A slot and, where nothing stands in it, since when that has been known: removals are remembered for a time only. */
    record Aged(Slot slot, long removedUs) {
        public Aged {
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** Why a member makes no promise. */
    enum Reason { NOT_LEVEL, OVERTAKEN, BUSY, FULL }
}
