package walkpost.fleet.observe;

import java.util.List;
import java.util.Set;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/** Something that happened to a {@link Feed}. */
public sealed interface FeedEvent {
    /** Time has passed; comes some 20 times a second. */
    record Tick() implements FeedEvent { }

    /** Which other voters live. */
    record Voters(Set<String> names) implements FeedEvent {
        public Voters {
            names = Set.copyOf(names);
        }
    }

    /** A message has come from a member. */
    record Received(String from, ObserveMessage message) implements FeedEvent { }

    /** A member asks for entries; {@code own} are those on that topic that this voter has written itself, their ages counted to now. */
    record Asked(String from, ObserveMessage.AskEntries question, List<Entry> own) implements FeedEvent {
        public Asked {
            own = List.copyOf(own);
        }
    }

    /** Slots of this voter's shards have changed, and are on disk where there is one; an empty one has been forgotten. */
    record Changed(List<Slot> slots) implements FeedEvent {
        public Changed {
            slots = List.copyOf(slots);
        }
    }

    /** Whether all shards of this voter are level now. */
    record CaughtUpChanged(boolean caughtUp) implements FeedEvent { }

    /** An observer's order, handed to the shards by {@link FeedAction.Propose}, is acknowledged. */
    record Acknowledged(String id, Order order) implements FeedEvent { }

    /** An observer's order, handed to the shards by {@link FeedAction.Propose}, has failed. */
    record Refused(String id, FleetException why) implements FeedEvent { }
}
