package walkpost.fleet.copy;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The state of a replica for one key: its decided orders, as a value of a join semilattice. See {@link SlotMerge} and the merge rule in
 * {@code docs/fleet.md}.
 *
 * @param heads the decided orders that no other order has replaced, by id; if there are several, they are rivals. Their versions are
 *     above the floor
 * @param replaced the ids of the orders that were replaced last, each with an upper bound of its version: one less than the version of
 *     the order that replaced it. That bound is known even to a replica that has only the id of the replaced order
 * @param floor the version up to which all orders have been replaced, whether or not {@code replaced} lists them
 */
public record Slot(Order.Key key, List<Order> heads, Map<String, Long> replaced, long floor) {
    public Slot {
        Objects.requireNonNull(key, "key");
        heads = List.copyOf(heads);
        replaced = Map.copyOf(replaced);
    }

    /** Returns a slot without history. */
    public static Slot empty(Order.Key key) {
        return new Slot(key, List.of(), Map.of(), 0);
    }

    /** Returns whether no order is known for the key, present or replaced. On disk, such a slot removes the key. */
    public boolean hasNoHistory() {
        return heads.isEmpty() && replaced.isEmpty() && floor == 0;
    }
}
