package walkpost.fleet.copy;

import java.util.List;
import java.util.Set;

/**
 * All that a copy holds of one key's decided orders, as a value of a join semilattice: see the merge rule in {@code docs/fleet.md}.
 *
 * @param heads decided orders that nothing has replaced, by id; more than one: rivals
 * @param replaced ids of orders that are over, the latest ones
 * @param floor orders of this version or a lower one that are no heads are over as well, whether or not they stand in {@code replaced}
 */
public record Slot(Order.Key key, List<Order> heads, Set<String> replaced, long floor) {
    public Slot {
        heads = List.copyOf(heads);
        replaced = Set.copyOf(replaced);
    }
}
