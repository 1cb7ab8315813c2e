package walkpost.fleet.observe;

import java.util.Map;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;

/** Something the owner of an {@link Observer} is to do, in the order given. */
public sealed interface ObserverAction {
    /** Send a message to a voter; it may get lost. */
    record Send(String to, ObserveMessage message) implements ObserverAction { }

    /** What stands for a key is this from now on. Comes once this copy was level for the first time, and then also while it is not. */
    record EffectiveOrderChanged(Order.Key key, EffectiveOrder order) implements ObserverAction { }

    /** The copy equals a level voter's, or control has been out of reach for too long to say so. What stood last goes on. */
    record CaughtUpChanged(boolean caughtUp) implements ObserverAction { }

    /** How many observers live, by region, has changed; empty where that is no longer known. */
    record Lives(Map<String, Integer> byRegion) implements ObserverAction {
        public Lives {
            byRegion = Map.copyOf(byRegion);
        }
    }

    /** An order of this member's caller is acknowledged by a majority of the voters. */
    record Acknowledged(String id, Order order) implements ObserverAction { }

    /** An order of this member's caller has failed, with the reason. */
    record Refused(String id, FleetException why) implements ObserverAction { }
}
