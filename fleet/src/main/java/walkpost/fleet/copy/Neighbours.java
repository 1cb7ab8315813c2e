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

/** Who lives besides this member, as membership says, and who is configured; owns the shard's random numbers. */
final class Neighbours {
    private final String self;
    private final Set<String> configured;
    private final long unmeasuredUs;
    private final UniformRandomProvider random;
    private final Map<String, Long> roundTrips = new TreeMap<>();

    Neighbours(String self, Set<String> configured, long unmeasuredUs, long seed) {
        this.self = self;
        this.configured = new TreeSet<>(configured);
        this.unmeasuredUs = unmeasuredUs;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    void are(Map<String, Long> roundTripUs) {
        roundTrips.clear();
        roundTrips.putAll(roundTripUs);
        roundTrips.remove(self);
    }

    boolean isConfigured(String name) {
        return configured.contains(name);
    }

    /** Returns how many of the configured members make a majority. */
    int majority() {
        return configured.size() / 2 + 1;
    }

    int configuredSize() {
        return configured.size();
    }

    /** Returns how many besides this member have to be reached for a majority. */
    int othersNeeded() {
        return majority() - (isConfigured(self) ? 1 : 0);
    }

    boolean alive(String name) {
        return name.equals(self) || roundTrips.containsKey(name);
    }

    /** Returns the round trip to a member, an upper bound of the way from it. */
    long roundTripUs(String name) {
        return roundTrips.getOrDefault(name, unmeasuredUs);
    }

    Collection<String> alive() {
        return roundTrips.keySet();
    }

    /** Returns all configured members but this one, whether or not they live. */
    List<String> others() {
        return configured.stream().filter(name -> !name.equals(self)).toList();
    }

    /** Returns all that might hold orders: who lives or is configured. */
    Set<String> everyone() {
        Set<String> all = new TreeSet<>(others());
        all.addAll(roundTrips.keySet());
        return all;
    }

    /** Returns the configured members that are not among these, this one included. */
    List<String> missing(Collection<String> among) {
        return configured.stream().filter(name -> !among.contains(name)).toList();
    }

    /** Draws so many different members that live, or all of them where there are no more. */
    List<String> draw(int count) {
        List<String> left = new ArrayList<>(roundTrips.keySet());
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < count && !left.isEmpty()) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    /** Draws a time below this one. */
    long draw(long belowUs) {
        return random.nextLong(belowUs);
    }
}
