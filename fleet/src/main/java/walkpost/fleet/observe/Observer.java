package walkpost.fleet.observe;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.fleet.Machine;
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Life;

/**
 * A member without a vote: it keeps a copy of all shards' orders by way of two voters, its feeds, whatever the number of members or
 * shards. See {@code docs/fleet.md}.
 *
 * <p>Readers are to be called by whoever may call {@link #handle}, under the same lock; what they return stays as it is.
 */
public final class Observer implements Machine<ObserverEvent, ObserverAction> {
    /**
     * Makes an observer that holds nothing.
     *
     * @param self this member's name and incarnation
     * @param region where it runs; empty where the file names none
     * @param voters all voters' names; this one's is not among them
     * @param seed of the random choice among voters and of back-offs
     */
    public Observer(ObserveSettings settings, Life self, String region, Set<String> voters, long seed) {
    }

    @Override
    public void handle(long nowUs, ObserverEvent event, Consumer<ObserverAction> actions) {
    }

    /** Returns whether this copy was found equal to a level voter's, and no silence since has put that in doubt. */
    public boolean level() {
        return false;
    }

    /** Returns how long ago this copy was last known to be the fleet's, in microseconds; a huge number where it never was. */
    public long controlAgeUs(long nowUs) {
        return 0;
    }

    /** Returns what stands, by key; removals that are remembered are among them, with no payload. */
    public Map<Order.Key, Acting> acting() {
        return Map.of();
    }

    /** Returns the voters that feed this observer now, the one that counts it first. */
    public List<String> feeds() {
        return List.of();
    }

    /** Returns how many observers live by region, as the voters say; empty where that is not known. */
    public Map<String, Integer> lives() {
        return Map.of();
    }

    /** Returns counts by name. */
    public Map<String, Long> figures() {
        return Map.of();
    }
}
