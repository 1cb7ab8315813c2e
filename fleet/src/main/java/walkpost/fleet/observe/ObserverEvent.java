package walkpost.fleet.observe;

import java.util.Map;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;

/** Something that happened to an {@link Observer}. */
public sealed interface ObserverEvent {
    /** Time has passed; comes some 20 times a second. */
    record Tick() implements ObserverEvent { }

    /** Which voters live, as membership says, and the round trip to each in microseconds. */
    record Voters(Map<String, Long> roundTripUs) implements ObserverEvent {
        public Voters {
            roundTripUs = Map.copyOf(roundTripUs);
        }
    }

    /** A message has come from a member; whatever comes from one that is no voter is dropped. */
    record Received(String from, ObserveMessage message) implements ObserverEvent { }

    /** This member, the writer, has seen something; a null payload withdraws it. */
    record WriteEntry(String topic, String subject, String payload) implements ObserverEvent { }

    /** An operator's order to this member, as in {@link walkpost.fleet.copy.ShardEvent.Propose}. */
    record Propose(Order.Key key, String id, String replaces, String payload) implements ObserverEvent { }
}
