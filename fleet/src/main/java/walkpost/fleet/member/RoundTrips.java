package walkpost.fleet.member;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The smoothed round-trip time to each member, as TCP computes it (RFC 6298, section 2). The bound is the mean plus four mean deviations,
 * so that most single round trips are below it. Only direct acknowledgements are measured. Owned by one {@link Membership}; not
 * thread-safe.
 */
final class RoundTrips {
    private record Smoothed(long meanUs, long deviationUs) {
        long boundUs() {
            return meanUs + 4 * deviationUs;
        }
    }

    private final Map<String, Smoothed> byName = new LinkedHashMap<>();

    void record(String name, long roundTripUs) {
        Smoothed old = byName.get(name);
        byName.put(name, old == null ? new Smoothed(roundTripUs, roundTripUs / 2)
                : new Smoothed(old.meanUs + (roundTripUs - old.meanUs) / 8,
                        old.deviationUs + (Math.abs(roundTripUs - old.meanUs) - old.deviationUs) / 4));
    }

    /** Returns the bound in microseconds, or {@code unmeasuredUs} if no round trip to this member has been measured. */
    long boundUs(String name, long unmeasuredUs) {
        Smoothed smoothed = byName.get(name);
        return smoothed == null ? unmeasuredUs : smoothed.boundUs();
    }

    void forget(String name) {
        byName.remove(name);
    }
}
