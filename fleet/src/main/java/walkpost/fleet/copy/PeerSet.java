package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The other members that a shard can talk to: the living ones, as membership reports them, and the configured ones, whose majority
 * decides. Owns the shard's random number generator.
 */
final class PeerSet {
    private final String self;
    private final Set<String> configured;
    private final long unmeasuredUs;
    private final UniformRandomProvider random;
    private final Map<String, Long> roundTripsUs = new TreeMap<>();

    PeerSet(String self, Set<String> configured, long unmeasuredUs, long seed) {
        this.self = self;
        this.configured = new TreeSet<>(configured);
        this.unmeasuredUs = unmeasuredUs;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Replaces the set of living members and the round-trip times to them. */
    void setAlive(Map<String, Long> roundTripUs) {
        roundTripsUs.clear();
        roundTripsUs.putAll(roundTripUs);
        roundTripsUs.remove(self);
    }

    boolean isConfigured(String name) {
        return configured.contains(name);
    }

    /** Returns the number of configured members that make a majority. */
    int majority() {
        return configured.size() / 2 + 1;
    }

    int configuredSize() {
        return configured.size();
    }

    /** Returns the number of configured members besides this one that are needed for a majority. */
    int othersForMajority() {
        return majority() - (isConfigured(self) ? 1 : 0);
    }

    /** Returns whether a member is living; this member always is. */
    boolean isAlive(String name) {
        return name.equals(self) || roundTripsUs.containsKey(name);
    }

    /** Returns the round-trip time to a member, which is an upper bound of the transit time of a message from it. */
    long roundTripUs(String name) {
        return roundTripsUs.getOrDefault(name, unmeasuredUs);
    }

    /** Returns the living members except this one. */
    Collection<String> aliveOthers() {
        return roundTripsUs.keySet();
    }

    /** Returns all configured members except this one, living or not. */
    List<String> configuredOthers() {
        return configured.stream().filter(name -> !name.equals(self)).toList();
    }

    /** Returns all members except this one that may hold orders: those that are living or configured. */
    Set<String> aliveOrConfiguredOthers() {
        Set<String> all = new TreeSet<>(configuredOthers());
        all.addAll(roundTripsUs.keySet());
        return all;
    }

    /** Returns the configured members, possibly this one, that are not in {@code names}. */
    List<String> configuredExcept(Collection<String> names) {
        return configured.stream().filter(name -> !names.contains(name)).toList();
    }

    /** Draws {@code count} different living members at random, or all of them if there are fewer. */
    List<String> drawAlive(int count) {
        List<String> candidates = new ArrayList<>(roundTripsUs.keySet());
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < count && !candidates.isEmpty()) {
            drawn.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return drawn;
    }

    /** Draws a random time from zero to below {@code belowUs}. */
    long drawTimeUs(long belowUs) {
        return random.nextLong(belowUs);
    }
}
