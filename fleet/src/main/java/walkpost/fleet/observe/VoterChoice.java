package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.KeyHash;

/**
 * Chooses the two voters that feed an observer: first a near one, then one of another region if there is any. Among voters at about the
 * same distance, rendezvous hashing of the observer's name decides (Thaler and Ravishankar 1998), so that the observers are spread
 * evenly and the death of a voter moves only the observers that it fed. Pure functions.
 */
final class VoterChoice {
    /** Round-trip times that differ by less than this count as equal. */
    private static final long EQUAL_ROUND_TRIP_US = 5_000;
    /** Round-trip times up to this multiple of the shortest count as equal to it. */
    private static final long EQUAL_ROUND_TRIP_FACTOR = 2;

    private VoterChoice() { }

    /**
     * Returns one or two voters, the near one first; none if no voter has answered.
     *
     * @param roundTripUs the round-trip times of the available voters, by name
     * @param regions the regions of the voters, as far as known
     */
    static List<String> choose(String observer, Map<String, Long> roundTripUs, Map<String, String> regions) {
        List<String> chosen = new ArrayList<>();
        String first = nearest(observer, roundTripUs, List.copyOf(roundTripUs.keySet()));
        if (first == null) {
            return chosen;
        }
        chosen.add(first);
        List<String> others = roundTripUs.keySet().stream().filter(name -> !name.equals(first)).toList();
        String firstRegion = regions.getOrDefault(first, "");
        List<String> inOtherRegions = others.stream()
                .filter(name -> !regions.getOrDefault(name, firstRegion).equals(firstRegion)).toList();
        // Distance does not matter for a voter of another region, because its purpose is to be somewhere else.
        String second = inOtherRegions.isEmpty() ? nearest(observer, roundTripUs, others) : highestHash(observer, inOtherRegions);
        if (second != null) {
            chosen.add(second);
        }
        return chosen;
    }

    private static String nearest(String observer, Map<String, Long> roundTripUs, List<String> candidates) {
        long shortestUs = candidates.stream().mapToLong(roundTripUs::get).min().orElse(0);
        long equalUpToUs = Math.max(shortestUs * EQUAL_ROUND_TRIP_FACTOR, shortestUs + EQUAL_ROUND_TRIP_US);
        return highestHash(observer, candidates.stream().filter(name -> roundTripUs.get(name) <= equalUpToUs).toList());
    }

    private static String highestHash(String observer, List<String> candidates) {
        return candidates.stream().max(Comparator.<String>comparingLong(name -> KeyHash.hash(observer, name))
                .thenComparing(Comparator.naturalOrder())).orElse(null);
    }
}
