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
 * What observers and voters say to each other, all shards together. Unknown fields are passed over; each stays below 32 KiB. None of
 * them promises or acknowledges anything to a shard: an observer has no vote, whatever it says.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ObserveMessage.Join.class, name = "j"),
    @JsonSubTypes.Type(value = ObserveMessage.Welcome.class, name = "jy"),
    @JsonSubTypes.Type(value = ObserveMessage.Later.class, name = "jn"),
    @JsonSubTypes.Type(value = ObserveMessage.Leave.class, name = "l"),
    @JsonSubTypes.Type(value = ObserveMessage.Beat.class, name = "b"),
    @JsonSubTypes.Type(value = ObserveMessage.Echo.class, name = "e"),
    @JsonSubTypes.Type(value = ObserveMessage.Leaves.class, name = "cl"),
    @JsonSubTypes.Type(value = ObserveMessage.Stamps.class, name = "cs"),
    @JsonSubTypes.Type(value = ObserveMessage.Want.class, name = "w"),
    @JsonSubTypes.Type(value = ObserveMessage.Slots.class, name = "s"),
    @JsonSubTypes.Type(value = ObserveMessage.Push.class, name = "p"),
    @JsonSubTypes.Type(value = ObserveMessage.Taken.class, name = "py"),
    @JsonSubTypes.Type(value = ObserveMessage.Offer.class, name = "o"),
    @JsonSubTypes.Type(value = ObserveMessage.Call.class, name = "c"),
    @JsonSubTypes.Type(value = ObserveMessage.Answer.class, name = "cy"),
    @JsonSubTypes.Type(value = ObserveMessage.Report.class, name = "r"),
    @JsonSubTypes.Type(value = ObserveMessage.AskEntries.class, name = "qf"),
    @JsonSubTypes.Type(value = ObserveMessage.Entries.class, name = "af"),
    @JsonSubTypes.Type(value = ObserveMessage.AskHeld.class, name = "qh"),
    @JsonSubTypes.Type(value = ObserveMessage.Held.class, name = "ah"),
    @JsonSubTypes.Type(value = ObserveMessage.Sum.class, name = "u")
})
public sealed interface ObserveMessage {
    /** An observer asks a voter to be its feed; {@code primary} where that voter is to count it among those who live. */
    record Join(long seq, String region, boolean primary) implements ObserveMessage { }

    /** The voter takes it; {@code regions} of all voters that it knows of, by name. */
    record Welcome(long seq, Map<String, String> regions) implements ObserveMessage {
        public Welcome {
            regions = Map.copyOf(regions);
        }
    }

    /** The voter does not take it, or not now: it may come again after so many milliseconds, here or elsewhere. */
    record Later(long seq, Reason why, long retryMs) implements ObserveMessage {
        public Later {
            Objects.requireNonNull(why, "why");
        }
    }

    /** The observer has another feed now, or ends. */
    record Leave() implements ObserveMessage { }

    /**
     * The one exchange that an observer that misses nothing has: the root over all that stands in its copy, and how long ago it was
     * last sure of that copy, in microseconds.
     */
    record Beat(long seq, boolean primary, long root, long awayUs) implements ObserveMessage { }

    /**
     * The answer to a beat.
     *
     * @param level whether the voter is level in all shards: only then does its copy count as the fleet's
     * @param awayUs how long ago it last was
     * @param nodes of the voter's tree where the roots differ; empty where they do not
     * @param lives how many observers live, by region, as all voters together know; empty where that is not known
     */
    record Echo(long seq, boolean level, long awayUs, long[] nodes, Map<String, Integer> lives) implements ObserveMessage {
        public Echo {
            Objects.requireNonNull(nodes, "nodes");
            lives = Map.copyOf(lives);
        }
    }

    /** The observer's leaves below the nodes that differ, sixteen for each. */
    record Leaves(long seq, int[] nodes, long[] leaves) implements ObserveMessage {
        public Leaves {
            Objects.requireNonNull(nodes, "nodes");
            Objects.requireNonNull(leaves, "leaves");
        }
    }

    /** What stands at the voter in leaves that differ; one of so many parts. {@code leaves} are the differing ones, by number. */
    record Stamps(long seq, int part, int parts, int[] leaves, List<ShardMessage.SlotDigest> stamps) implements ObserveMessage {
        public Stamps {
            Objects.requireNonNull(leaves, "leaves");
            stamps = List.copyOf(stamps);
        }
    }

    /** The observer asks for some slots. */
    record Want(long seq, List<Order.Key> keys) implements ObserveMessage {
        public Want {
            keys = List.copyOf(keys);
        }
    }

    /** Slots that were asked for, or that the voter has more of than it was offered. */
    record Slots(long seq, long awayUs, List<Slot> slots) implements ObserveMessage {
        public Slots {
            slots = List.copyOf(slots);
        }
    }

    /** Slots that have just changed at the voter. To be answered by {@link Taken} with the same number. */
    record Push(long number, long awayUs, List<Slot> slots) implements ObserveMessage {
        public Push {
            slots = List.copyOf(slots);
        }
    }

    /** The observer has what was pushed. */
    record Taken(long number) implements ObserveMessage { }

    /** What the observer has and the voter has not, or not all of. A voter takes it only from a copy that is not too old. */
    record Offer(long awayUs, List<Slot> slots) implements ObserveMessage {
        public Offer {
            slots = List.copyOf(slots);
        }
    }

    /**
     * An operator's order that was given to an observer; the same id may come over several voters and is carried out once.
     *
     * @param attempt goes up with each sending by this observer, of whatever call and to whomever, and from life to life
     */
    record Call(Order.Key key, String id, String replaces, String payload, long attempt) implements ObserveMessage {
        public Call {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * What came of a call: the acknowledged order, or the reason why not: its type, what happened, and what an operator can do.
     *
     * @param attempt the highest that this answers: copies of it, and of earlier ones, that come later are answered the same
     * @param aliveUs for how long the voter's process has run: whatever was sent to it before that it knows nothing of
     * @param again whether another voter, or this one a moment later, may well take it
     */
    record Answer(String id, long attempt, long aliveUs, Order order, String type, String text, String remedy, boolean again)
            implements ObserveMessage {
        public Answer {
            Objects.requireNonNull(id, "id");
        }
    }

    /** Entries that the observer wrote, their ages counted to the sending. */
    record Report(List<Entry> facts) implements ObserveMessage {
        public Report {
            facts = List.copyOf(facts);
        }
    }

    /** Which entries on a topic were reported to the voter asked? */
    record AskEntries(long seq, String topic) implements ObserveMessage { }

    /** Those entries, their ages counted to the sending; one of so many parts. */
    record Entries(long seq, int part, int parts, List<Entry> facts) implements ObserveMessage {
        public Entries {
            facts = List.copyOf(facts);
        }
    }

    /** Which of the observers that the voter counts hold this order, or what has come after it? */
    record AskHeld(long seq, Order.Key key, String id) implements ObserveMessage {
        public AskHeld {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(id, "id");
        }
    }

    /** So many of those that the voter counts, itself among them, hold it; names of some that do not. */
    record Held(long seq, int held, int of, List<String> lacking) implements ObserveMessage {
        public Held {
            lacking = List.copyOf(lacking);
        }
    }

    /** Among voters: the sender's region, and how many observers it counts, by region. */
    record Sum(String region, Map<String, Integer> lives) implements ObserveMessage {
        public Sum {
            lives = Map.copyOf(lives);
        }
    }

    /** Why a voter does not take an observer now: it has as many as it bears, or too many come at once, or it does not know it. */
    enum Reason { FULL, TOO_MANY_AT_ONCE, UNKNOWN }
}
