package walkpost.fleet.observe;

import java.util.List;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.Slot;

/** An action that the owner of a {@link Feed} carries out, in the order given. */
public sealed interface FeedAction {
    /** Send a message to a member. The message may be lost. */
    record Send(String to, ObserveMessage message) implements FeedAction { }

    /**
     * Give an order to the shard of its key ({@link walkpost.fleet.copy.ShardEvent.Propose}), and hand the result to the feed as a
     * {@link FeedEvent.Acknowledged} or {@link FeedEvent.Refused}.
     */
    record Propose(Order.Key key, String id, String replaces, String payload) implements FeedAction { }

    /**
     * Give slots in which an observer holds more than this voter to the shards of their keys
     * ({@link walkpost.fleet.copy.ShardEvent.SlotsOffered}).
     */
    record OfferSlots(List<Slot> slots) implements FeedAction {
        public OfferSlots {
            slots = List.copyOf(slots);
        }
    }
}
