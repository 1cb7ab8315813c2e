package walkpost.fleet.observe;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.fleet.Machine;

/**
 * A voter's side of observers: takes them up to a bound, answers their beats from one table of what stands in all shards, pushes
 * what changes, takes their orders and reports. See {@code docs/fleet.md}.
 *
 * <p>Readers are to be called by whoever may call {@link #handle}, under the same lock; what they return stays as it is.
 */
public final class Feed implements Machine<FeedEvent, FeedAction> {
    /**
     * Makes a feed without observers.
     *
     * @param self this voter's name
     * @param region where it runs; empty where the file names none
     * @param voters all voters' names, this one's among them
     */
    public Feed(ObserveSettings settings, String self, String region, Set<String> voters) {
    }

    @Override
    public void handle(long nowUs, FeedEvent event, Consumer<FeedAction> actions) {
    }

    /** Returns how many observers live by region, as all voters together know. */
    public Map<String, Integer> lives(long nowUs) {
        return Map.of();
    }

    /** Returns counts by name, {@code observers} among them. */
    public Map<String, Long> figures() {
        return Map.of();
    }
}
