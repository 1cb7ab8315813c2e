package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The measured round trip to each member, smoothed as TCP does (RFC 6298, section 2: the mean and four times its mean deviation), so
 * that it bounds most single ones from above. Only direct acknowledgements count. Owned by one {@link Membership}.
 */
final class RoundTrips {
    private record Smoothed(long meanUs, long deviationUs) {
        long boundUs() {
            return meanUs + 4 * deviationUs;
        }
    }

    private final Map<String, Smoothed> trips = new LinkedHashMap<>();

    void measured(String name, long us) {
        Smoothed old = trips.get(name);
        trips.put(name, old == null ? new Smoothed(us, us / 2)
                : new Smoothed(old.meanUs + (us - old.meanUs) / 8, old.deviationUs + (Math.abs(us - old.meanUs) - old.deviationUs) / 4));
    }

    /** Returns the bound in microseconds, or what is given where nothing has been measured. */
    long boundUs(String name, long unmeasuredUs) {
        Smoothed trip = trips.get(name);
        return trip == null ? unmeasuredUs : trip.boundUs();
    }

    void forget(String name) {
        trips.remove(name);
    }
}
