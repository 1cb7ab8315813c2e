package walkpost.fleet.observe;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;

/**
 * A message between an observer and a voter, or between two voters about their observers, encoded as CBOR. It concerns all shards at
 * once. The names of the record components are the names of the CBOR fields and must not change: {@code facts}, for example, holds
 * entries, and {@code level} tells whether the sender is caught up. Receivers ignore unknown fields. A message stays below 32 KiB; longer
 * content is sent in parts. {@code equals} does not work for messages that hold arrays.
 *
 * <p>No message promises or confirms anything to a shard, because an observer has no vote.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ObserveMessage.Subscribe.class, name = "j"),
    @JsonSubTypes.Type(value = ObserveMessage.Subscribed.class, name = "jy"),
    @JsonSubTypes.Type(value = ObserveMessage.SubscriptionRefused.class, name = "jn"),
    @JsonSubTypes.Type(value = ObserveMessage.Unsubscribe.class, name = "l"),
    @JsonSubTypes.Type(value = ObserveMessage.Heartbeat.class, name = "b"),
    @JsonSubTypes.Type(value = ObserveMessage.HeartbeatReply.class, name = "e"),
    @JsonSubTypes.Type(value = ObserveMessage.LeafHashes.class, name = "cl"),
    @JsonSubTypes.Type(value = ObserveMessage.SlotDigests.class, name = "cs"),
    @JsonSubTypes.Type(value = ObserveMessage.FetchRequest.class, name = "w"),
    @JsonSubTypes.Type(value = ObserveMessage.Slots.class, name = "s"),
    @JsonSubTypes.Type(value = ObserveMessage.Push.class, name = "p"),
    @JsonSubTypes.Type(value = ObserveMessage.PushAck.class, name = "py"),
    @JsonSubTypes.Type(value = ObserveMessage.Offer.class, name = "o"),
    @JsonSubTypes.Type(value = ObserveMessage.ForwardOrder.class, name = "c"),
    @JsonSubTypes.Type(value = ObserveMessage.ForwardOrderReply.class, name = "cy"),
    @JsonSubTypes.Type(value = ObserveMessage.ReportEntries.class, name = "r"),
    @JsonSubTypes.Type(value = ObserveMessage.EntriesQuery.class, name = "qf"),
    @JsonSubTypes.Type(value = ObserveMessage.EntriesReply.class, name = "af"),
    @JsonSubTypes.Type(value = ObserveMessage.CoverageQuery.class, name = "qh"),
    @JsonSubTypes.Type(value = ObserveMessage.CoverageReply.class, name = "ah"),
    @JsonSubTypes.Type(value = ObserveMessage.ObserverCounts.class, name = "u")
})
public sealed interface ObserveMessage {
    /**
     * Subscribes an observer to a voter, which becomes its feed.
     *
     * @param primary whether the voter is to count the observer among the live ones; each observer has one primary feed
     */
    record Subscribe(long seq, String region, boolean primary) implements ObserveMessage { }

    /**
     * Accepts a subscription.
     *
     * @param regions the regions of all voters that the sender knows of, by voter name
     */
    record Subscribed(long seq, Map<String, String> regions) implements ObserveMessage {
        public Subscribed {
            regions = Map.copyOf(regions);
        }
    }

    /**
     * Refuses a subscription, or answers a heartbeat of an observer that has none.
     *
     * @param retryMs the time in milliseconds after which the observer may try this voter again
     */
    record SubscriptionRefused(long seq, RefusalReason why, long retryMs) implements ObserveMessage {
        public SubscriptionRefused {
            Objects.requireNonNull(why, "why");
        }
    }

    /** Ends a subscription: the observer has replaced this feed by another, or ends. */
    record Unsubscribe() implements ObserveMessage { }

    /**
     * Sends the root hash of the observer's replica to a voter. An observer that is in sync exchanges only heartbeats and their replies.
     *
     * @param primary whether the voter is the observer's primary feed
     * @param root the root hash of the orders in force in the observer's replica
     * @param awayUs the time since the observer's replica was last known to equal the fleet's orders
     */
    record Heartbeat(long seq, boolean primary, long root, long awayUs) implements ObserveMessage { }

    /**
     * Answers a heartbeat.
     *
     * @param level whether the voter has caught up in all shards: only then does its replica stand for the fleet's orders
     * @param awayUs the time since the voter was last caught up
     * @param nodes the node hashes of the voter's tree if the roots differ; empty if they are equal
     * @param lives the number of live observers by region, as counted by all voters together; empty if it is not known
     */
    record HeartbeatReply(long seq, boolean level, long awayUs, long[] nodes, Map<String, Integer> lives) implements ObserveMessage {
        public HeartbeatReply {
            Objects.requireNonNull(nodes, "nodes");
            lives = Map.copyOf(lives);
        }
    }

    /** Carries the observer's leaf hashes below the nodes that differ, 16 for each node. */
    record LeafHashes(long seq, int[] nodes, long[] leaves) implements ObserveMessage {
        public LeafHashes {
            Objects.requireNonNull(nodes, "nodes");
            Objects.requireNonNull(leaves, "leaves");
        }
    }

    /**
     * Lists the voter's slots in the leaves that differ, in one part of several.
     *
     * @param leaves the numbers of the leaves that differ
     */
    record SlotDigests(long seq, int part, int parts, int[] leaves, List<ShardMessage.SlotDigest> stamps) implements ObserveMessage {
        public SlotDigests {
            Objects.requireNonNull(leaves, "leaves");
            stamps = List.copyOf(stamps);
        }
    }

    /** Requests slots by key. */
    record FetchRequest(long seq, List<Order.Key> keys) implements ObserveMessage {
        public FetchRequest {
            keys = List.copyOf(keys);
        }
    }

    /** Carries slots that were requested, or slots in which the voter holds more than an offer contained. */
    record Slots(long seq, long awayUs, List<Slot> slots) implements ObserveMessage {
        public Slots {
            slots = List.copyOf(slots);
        }
    }

    /** Carries slots that have just changed at the voter. The observer answers with a {@link PushAck} of the same number. */
    record Push(long number, long awayUs, List<Slot> slots) implements ObserveMessage {
        public Push {
            slots = List.copyOf(slots);
        }
    }

    /** Acknowledges a push: the observer has merged its slots. */
    record PushAck(long number) implements ObserveMessage { }

    /** Offers slots that the voter lacks or holds in part. A voter accepts an offer only if the observer's replica is not too old. */
    record Offer(long awayUs, List<Slot> slots) implements ObserveMessage {
        public Offer {
            slots = List.copyOf(slots);
        }
    }

    /**
     * Forwards an operator's order to a voter. An order with the same id may reach several voters and is carried out once.
     *
     * @param attempt a number that increases with each message that forwards an order of this observer, to any voter, and from one life to
     *     the next
     */
    record ForwardOrder(Order.Key key, String id, String replaces, String payload, long attempt) implements ObserveMessage {
        public ForwardOrder {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Answers a forwarded order: with the acknowledged order, or with the error's type, problem and remedy.
     *
     * @param attempt the highest attempt that this answers; a copy of it or of an earlier attempt that arrives later gets the same answer
     * @param aliveUs how long the voter's process has run: it knows nothing of a message that was sent to it before
     * @param again whether another voter, or the same one a moment later, may accept the order
     */
    record ForwardOrderReply(String id, long attempt, long aliveUs, Order order, String type, String text, String remedy, boolean again)
            implements ObserveMessage {
        public ForwardOrderReply {
            Objects.requireNonNull(id, "id");
        }
    }

    /** Reports entries that the observer has written, with their ages at the time of sending. */
    record ReportEntries(List<Entry> facts) implements ObserveMessage {
        public ReportEntries {
            facts = List.copyOf(facts);
        }
    }

    /** Queries the entries on a topic that observers have reported to the voter. */
    record EntriesQuery(long seq, String topic) implements ObserveMessage { }

    /** Answers an entries query with the entries and their ages at the time of sending, in one part of several. */
    record EntriesReply(long seq, int part, int parts, List<Entry> facts) implements ObserveMessage {
        public EntriesReply {
            facts = List.copyOf(facts);
        }
    }

    /** Queries which of the observers that the voter counts hold an order, or an order that has replaced it. */
    record CoverageQuery(long seq, Order.Key key, String id) implements ObserveMessage {
        public CoverageQuery {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Answers a coverage query.
     *
     * @param held how many of the counted members hold the order
     * @param of how many members the voter counts: its observers and itself
     * @param lacking the names of some members that do not hold the order
     */
    record CoverageReply(long seq, int held, int of, List<String> lacking) implements ObserveMessage {
        public CoverageReply {
            lacking = List.copyOf(lacking);
        }
    }

    /**
     * Tells another voter the sender's region and the observers that the sender counts.
     *
     * @param lives the number of observers by region
     */
    record ObserverCounts(String region, Map<String, Integer> lives) implements ObserveMessage {
        public ObserverCounts {
            lives = Map.copyOf(lives);
        }
    }

    /** Why a voter refuses an observer: it serves as many as it may, too many subscribe at once, or it does not know the observer. */
    enum RefusalReason { FULL, TOO_MANY_AT_ONCE, UNKNOWN }
}
