package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.KeyHash;

/**
 * Which two voters feed an observer: a near one first, and one of another region beside it, where there is one. Among voters that are
 * about as near, the observer's name decides by rendezvous hashing (Thaler and Ravishankar 1998), so that all together are spread evenly
 * and a voter that dies moves none but its own. Pure.
 */
final class VoterChoice {
    /** Round trips that differ by less than this count as alike. */
    private static final long ALIKE_US = 5_000;
    private static final long FACTOR = 2;

    private VoterChoice() { }

    /**
     * Returns one or two voters, the nearer first; none where none has answered.
     *
     * @param roundTripUs of the voters that may be had
     * @param regions of voters, as far as known
     */
    static List<String> of(String observer, Map<String, Long> roundTripUs, Map<String, String> regions) {
        List<String> chosen = new ArrayList<>();
        String first = best(observer, roundTripUs, List.copyOf(roundTripUs.keySet()));
        if (first == null) {
            return chosen;
        }
        chosen.add(first);
        List<String> others = roundTripUs.keySet().stream().filter(name -> !name.equals(first)).toList();
        String region = regions.getOrDefault(first, "");
        List<String> elsewhere = others.stream().filter(name -> !regions.getOrDefault(name, region).equals(region)).toList();
        // Of the other regions' voters any will do: that it is far is what it is there for.
        String second = elsewhere.isEmpty() ? best(observer, roundTripUs, others) : heaviest(observer, elsewhere);
        if (second != null) {
            chosen.add(second);
        }
        return chosen;
    }

    private static String best(String observer, Map<String, Long> roundTripUs, List<String> among) {
        long nearest = among.stream().mapToLong(roundTripUs::get).min().orElse(0);
        long alike = Math.max(nearest * FACTOR, nearest + ALIKE_US);
        return heaviest(observer, among.stream().filter(name -> roundTripUs.get(name) <= alike).toList());
    }

    private static String heaviest(String observer, List<String> among) {
        return among.stream().max(Comparator.<String>comparingLong(name -> KeyHash.hash(observer, name))
                .thenComparing(Comparator.naturalOrder())).orElse(null);
    }
}
