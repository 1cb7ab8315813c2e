package walkpost.fleet.observe;

import java.util.Map;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;

/** An action that the owner of an {@link Observer} carries out, in the order given. */
public sealed interface ObserverAction {
    /** Send a message to a voter. The message may be lost. */
    record Send(String to, ObserveMessage message) implements ObserverAction { }

    /**
     * Act on this effective order for the key from now on. The first such action comes when the replica is in sync for the first time;
     * later ones come also while it is not.
     */
    record EffectiveOrderChanged(Order.Key key, EffectiveOrder effectiveOrder) implements ObserverAction { }

    /**
     * Note that the replica equals that of a caught-up voter, or that the voters have been out of reach for too long to say so. The
     * effective orders stay in force in either case.
     */
    record CaughtUpChanged(boolean caughtUp) implements ObserverAction { }

    /** Note that the number of live observers by region has changed; it is empty if it is no longer known. */
    record ObserverCountsChanged(Map<String, Integer> byRegion) implements ObserverAction {
        public ObserverCountsChanged {
            byRegion = Map.copyOf(byRegion);
        }
    }

    /** Tell this member's caller that a majority of the voters has acknowledged the order. */
    record Acknowledged(String id, Order order) implements ObserverAction { }

    /** Tell this member's caller that the order has failed, and why. */
    record Refused(String id, FleetException cause) implements ObserverAction { }
}
