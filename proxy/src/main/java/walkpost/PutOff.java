package walkpost;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The flows that have a failure against them, at all backends together, and the bound on their number: when it is full, the
 * one whose last failure is the longest ago is forgiven. Its next attempt there is then one as any other.
 */
final class PutOff {
    private record Place(FlowTrusts at, String flow) { }

    private final int most;
    /** In the order of their last failures. */
    private final Map<Trust, Place> places = new LinkedHashMap<>();

    PutOff(int most) {
        this.most = most;
    }

    /** Takes one in, or in anew; {@code failed}: it has failed just now. */
    void add(FlowTrusts at, String flow, Trust trust, boolean failed) {
        if (failed) {
            places.remove(trust);
        }
        places.putIfAbsent(trust, new Place(at, flow));
        if (places.size() > most) {
            Place eldest = remove(places.keySet().iterator().next());
            eldest.at().forgive(eldest.flow());
        }
    }

    Place remove(Trust trust) {
        return places.remove(trust);
    }

    int size() {
        return places.size();
    }
}
