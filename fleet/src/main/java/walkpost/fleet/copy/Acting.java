package walkpost.fleet.copy;

import java.util.List;

/**
 * What members act on for one key.
 *
 * @param payload JSON on one line, null for nothing
 * @param chosen the order that all copies choose; null where there never was one
 * @param rivals other decided orders that stand beside it until an operator settles them
 */
public record Acting(String payload, Order chosen, List<Order> rivals) {
    public Acting {
        rivals = List.copyOf(rivals);
    }
}
