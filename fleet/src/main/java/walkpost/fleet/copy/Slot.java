package walkpost.fleet.copy;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * All that a copy holds of one key's decided orders, as a value of a join semilattice: see the merge rule in {@code docs/fleet.md}.
 *
 * @param heads decided orders that nothing has replaced, by id; more than one: rivals. All have versions above the floor
 * @param replaced ids of orders that are over, the latest ones, each with a version that it is not above: the one before the order's
 *     that replaced it. Whoever knows only the name of what was replaced can say as much
 * @param floor all orders of this version or a lower one are over, whether or not they stand in {@code replaced}
 */
public record Slot(Order.Key key, List<Order> heads, Map<String, Long> replaced, long floor) {
    public Slot {
        Objects.requireNonNull(key, "key");
        heads = List.copyOf(heads);
        replaced = Map.copyOf(replaced);
    }

    /** Returns a slot in which no order ever was. */
    public static Slot empty(Order.Key key) {
        return new Slot(key, List.of(), Map.of(), 0);
    }

    /** Returns whether nothing is known of the key; on disk such a slot takes the key's place away. */
    public boolean none() {
        return heads.isEmpty() && replaced.isEmpty() && floor == 0;
    }
}
