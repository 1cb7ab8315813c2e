package walkpost.fleet.observe;

import java.util.List;
import java.util.Set;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/** An event that the owner of a {@link Feed} hands to it. */
public sealed interface FeedEvent {
    /** Time has passed. Arrives about 20 times a second. */
    record Tick() implements FeedEvent { }

    /** The set of live voters has changed; this voter is not among them. */
    record LiveVoters(Set<String> names) implements FeedEvent {
        public LiveVoters {
            names = Set.copyOf(names);
        }
    }

    /** A message has arrived from a member. */
    record Received(String from, ObserveMessage message) implements FeedEvent { }

    /**
     * A member queries the entries on a topic.
     *
     * @param own the entries on that topic that this voter has written itself, with their ages at the time of the event
     */
    record EntriesQueried(String from, ObserveMessage.EntriesQuery query, List<Entry> own) implements FeedEvent {
        public EntriesQueried {
            own = List.copyOf(own);
        }
    }

    /**
     * Slots of this voter's shards have changed, and are stored on disk if the voter has a directory.
     *
     * @param slots the new content; a slot without history was forgotten
     */
    record SlotsChanged(List<Slot> slots) implements FeedEvent {
        public SlotsChanged {
            slots = List.copyOf(slots);
        }
    }

    /** Whether all shards of this voter are caught up has changed. */
    record CaughtUpChanged(boolean caughtUp) implements FeedEvent { }

    /** A shard has acknowledged an observer's order that {@link FeedAction.Propose} handed to it. */
    record Acknowledged(String id, Order order) implements FeedEvent { }

    /** A shard has refused an observer's order that {@link FeedAction.Propose} handed to it. */
    record Refused(String id, FleetException cause) implements FeedEvent { }
}
