package walkpost.fleet.copy;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;

/**
 * A message from a shard to the same shard of another member, encoded as CBOR. The names of the record components are the names of the
 * CBOR fields and must not change: {@code facts}, for example, holds entries. Receivers ignore unknown fields. A message stays below
 * 32 KiB; longer content is sent in parts. {@code equals} does not work for messages that hold arrays.
 *
 * <p>An order takes these steps. (1) The coordinator proposes it to all configured members. (2) Each promises its slot's next version to
 * the order, or declines. (3) With promises of a majority the coordinator decides the order. (4) It sends the decision to all members,
 * which confirm that they store it. (5) With confirmations of a majority it acknowledges the order to the operator.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ShardMessage.Entries.class, name = "f"),
    @JsonSubTypes.Type(value = ShardMessage.Propose.class, name = "p"),
    @JsonSubTypes.Type(value = ShardMessage.Promised.class, name = "py"),
    @JsonSubTypes.Type(value = ShardMessage.Declined.class, name = "pn"),
    @JsonSubTypes.Type(value = ShardMessage.ReleasePromise.class, name = "pf"),
    @JsonSubTypes.Type(value = ShardMessage.Commit.class, name = "h"),
    @JsonSubTypes.Type(value = ShardMessage.Committed.class, name = "hy"),
    @JsonSubTypes.Type(value = ShardMessage.CompareRoots.class, name = "c"),
    @JsonSubTypes.Type(value = ShardMessage.NodeHashes.class, name = "cn"),
    @JsonSubTypes.Type(value = ShardMessage.LeafHashes.class, name = "cl"),
    @JsonSubTypes.Type(value = ShardMessage.SlotDigests.class, name = "cs"),
    @JsonSubTypes.Type(value = ShardMessage.EntryDigests.class, name = "cf"),
    @JsonSubTypes.Type(value = ShardMessage.FetchRequest.class, name = "w"),
    @JsonSubTypes.Type(value = ShardMessage.Slots.class, name = "s")
})
public sealed interface ShardMessage {
    /**
     * Carries entries, with their ages at the time of sending.
     *
     * @param fetched whether the receiver requested them; if so, it does not gossip them further
     */
    record Entries(boolean fetched, List<Entry> facts) implements ShardMessage {
        public Entries {
            facts = List.copyOf(facts);
        }
    }

    /**
     * Proposes an order (step 1).
     *
     * @param round the coordinator's round, which increases within its life
     * @param slot the coordinator's slot when it made the proposal
     */
    record Propose(long round, Order order, Slot slot) implements ShardMessage {
        public Propose {
            Objects.requireNonNull(order, "order");
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** Promises the slot's next version to the order (step 2). */
    record Promised(long round, String id) implements ShardMessage { }

    /**
     * Declines to make a promise (step 2).
     *
     * @param why the reason
     * @param other the order that stands in the way, if any
     * @param slot the sender's slot, if it holds orders that the coordinator lacks; else null
     */
    record Declined(long round, String id, DeclineReason why, String other, Slot slot) implements ShardMessage {
        public Declined {
            Objects.requireNonNull(why, "why");
        }
    }

    /** Releases the promise for a round that the coordinator has abandoned for good. */
    record ReleasePromise(long round, Order.Key key, long incarnation) implements ShardMessage {
        public ReleasePromise {
            Objects.requireNonNull(key, "key");
        }
    }

    /** Tells that an order is decided, and asks the receiver to store the slot that holds it or its successor (step 4). */
    record Commit(long round, String id, Slot slot) implements ShardMessage {
        public Commit {
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** Confirms that the order is stored (step 4), on disk if the sender has a directory. */
    record Committed(long round, String id) implements ShardMessage { }

    /**
     * Starts a comparison with the root hashes of the sender's trees.
     *
     * @param awayUs the time since the sender was last caught up
     * @param slots the root hash of the slots
     * @param facts the root hash of the entries; null if they are not to be compared, because entries change all the time and some are
     *     always still being gossiped
     */
    record CompareRoots(long round, long awayUs, long slots, Long facts) implements ShardMessage { }

    /**
     * Answers a comparison with the node hashes of the trees whose roots differ.
     *
     * @param awayUs the time since the sender was last caught up
     * @param slots the node hashes of the slots; empty if the roots are equal
     * @param facts the node hashes of the entries; empty if the roots are equal
     */
    record NodeHashes(long round, long awayUs, long[] slots, long[] facts) implements ShardMessage {
        public NodeHashes {
            Objects.requireNonNull(slots, "slots");
            Objects.requireNonNull(facts, "facts");
        }
    }

    /** Carries the requester's leaf hashes below the nodes that differ, 16 for each node. */
    record LeafHashes(long round, int[] slotNodes, long[] slots, int[] factNodes, long[] facts) implements ShardMessage {
        public LeafHashes {
            Objects.requireNonNull(slotNodes, "slotNodes");
            Objects.requireNonNull(slots, "slots");
            Objects.requireNonNull(factNodes, "factNodes");
            Objects.requireNonNull(facts, "facts");
        }
    }

    /** Lists the sender's slots in the leaves that differ. The parts are counted so that the receiver knows when it has them all. */
    record SlotDigests(long round, int part, int parts, List<SlotDigest> stamps) implements ShardMessage {
        public SlotDigests {
            stamps = List.copyOf(stamps);
        }
    }

    /** Lists the sender's entries in the leaves that differ. */
    record EntryDigests(long round, List<EntryDigest> stamps) implements ShardMessage {
        public EntryDigests {
            stamps = List.copyOf(stamps);
        }
    }

    /** Requests slots and entries by key. */
    record FetchRequest(List<Order.Key> slots, List<Entry.Key> facts) implements ShardMessage {
        public FetchRequest {
            slots = List.copyOf(slots);
            facts = List.copyOf(facts);
        }
    }

    /** Carries the requested slots; one without history if the sender no longer has the slot. */
    record Slots(long awayUs, List<AgedSlot> slots) implements ShardMessage {
        public Slots {
            slots = List.copyOf(slots);
        }
    }

    /** The key of a slot and the hash of its content. */
    record SlotDigest(Order.Key key, long hash) {
        public SlotDigest {
            Objects.requireNonNull(key, "key");
        }
    }

    /** The key and version of an entry, and the hash of its payload. */
    record EntryDigest(Entry.Key key, long incarnation, long version, long hash) {
        public EntryDigest {
            Objects.requireNonNull(key, "key");
        }
    }

    /**
     * A slot and the age of its removal.
     *
     * @param removedUs how long the sender has known that nothing is in force in the slot, because removals are remembered for a limited
     *     time only; zero if an order is in force
     */
    record AgedSlot(Slot slot, long removedUs) {
        public AgedSlot {
            Objects.requireNonNull(slot, "slot");
        }
    }

    /** The reason why a member declines to make a promise. The names of the constants are sent to other members. */
    enum DeclineReason { NOT_LEVEL, OVERTAKEN, BUSY, FULL }
}
