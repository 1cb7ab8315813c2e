package walkpost.fleet.copy;

import java.util.List;

/**
 * The order in effect for one key: the state that members act on.
 *
 * @param payload JSON on one line; null if nothing is in effect
 * @param chosen the decided order that all replicas choose; null if the key has none
 * @param rivals other decided orders for the key that conflict with the chosen one until an operator settles them
 */
public record EffectiveOrder(String payload, Order chosen, List<Order> rivals) {
    public EffectiveOrder {
        rivals = List.copyOf(rivals);
    }
}
