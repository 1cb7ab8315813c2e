package walkpost.fleet.observe;

import java.util.Map;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;

/** An event that the owner of an {@link Observer} hands to it. */
public sealed interface ObserverEvent {
    /** Time has passed. Arrives about 20 times a second. */
    record Tick() implements ObserverEvent { }

    /**
     * The set of live voters has changed.
     *
     * @param roundTripUs the round-trip time to each live member in microseconds, by name; members that are not voters are ignored
     */
    record LiveVoters(Map<String, Long> roundTripUs) implements ObserverEvent {
        public LiveVoters {
            roundTripUs = Map.copyOf(roundTripUs);
        }
    }

    /** A message has arrived from a member. Messages from members that are not voters are dropped. */
    record Received(String from, ObserveMessage message) implements ObserverEvent { }

    /** This member writes an entry of its own; a null payload withdraws the entry. */
    record WriteEntry(String topic, String subject, String payload) implements ObserverEvent { }

    /** An operator gives an order to this member; the components are those of {@link walkpost.fleet.copy.ShardEvent.Propose}. */
    record Propose(Order.Key key, String id, String replaces, String payload) implements ObserverEvent { }
}
