package walkpost.fleet.observe;

import java.util.List;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.Slot;

/** Something the owner of a {@link Feed} is to do, in the order given. */
public sealed interface FeedAction {
    /** Send a message to a member; it may get lost. */
    record Send(String to, ObserveMessage message) implements FeedAction { }

    /** Give the shard that this key lies in an order ({@link walkpost.fleet.copy.ShardEvent.Propose}), and the feed what comes of it. */
    record Propose(Order.Key key, String id, String replaces, String payload) implements FeedAction { }

    /** Offers these slots to their shards (a {@code ShardEvent.SlotsOffered}), because an observer has orders that the voter lacks. */
    record Offer(List<Slot> slots) implements FeedAction {
        public Offer {
            slots = List.copyOf(slots);
        }
    }
}
