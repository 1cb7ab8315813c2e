package walkpost.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times of servers from the Unix time of the lists to the proxy's own clock. The proxy's clock started from this
 * machine's wall clock, which may have been wrong: if it was an hour ahead, a server that has just started would be treated as warm; if it
 * was an hour behind, as cold until the hour is over. Three rules hold without that clock: no server starts in the future; a server that
 * was missing from a list started after that list was made; and a start time, once converted, does not change. Not thread-safe, without
 * I/O; times are in microseconds unless their name says otherwise.
 */
final class ServerStartTimes {
    /** How long after its start a server may still be missing from the lists. */
    static final long MAX_LISTING_DELAY_US = 10_000_000;
    /** The number of start times remembered, at 100 B each; those not listed for the longest time are dropped first. */
    private static final int MAX_REMEMBERED_STARTS = 16_384;

    private record StartTime(long unixMs, long proxyClockUs) { }

    private final Map<String, StartTime> startTimesById = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StartTime> eldest) {
            return size() > MAX_REMEMBERED_STARTS;
        }
    };
    /** The minimum by which the clock of the lists is known to be ahead of the proxy's clock. */
    private long listClockAheadUs;
    private long lastListAtUs = Long.MIN_VALUE / 2;

    /**
     * Records that a list contains a start at this Unix time, which shows that the clock of the lists is past it. Must be called for all
     * entries of a list before {@link #onProxyClockUs} is called for any of them.
     */
    void observeStart(long unixMs, long nowUs) {
        listClockAheadUs = Math.max(listClockAheadUs, unixMs * 1_000 - nowUs);
    }

    /**
     * Returns when a server started, on the proxy's clock; 0 if the list has no start time, which counts as long ago.
     *
     * @param unixMs the server's start in the list, in milliseconds of Unix time
     */
    long onProxyClockUs(String id, long unixMs, long nowUs) {
        if (unixMs <= 0) {
            return 0;
        }
        StartTime startTime = startTimesById.get(id);
        if (startTime == null || startTime.unixMs() != unixMs) {
            long byListClockUs = Math.min(nowUs, unixMs * 1_000 - listClockAheadUs);
            startTime = new StartTime(unixMs, Math.max(1, Math.max(byListClockUs, lastListAtUs - MAX_LISTING_DELAY_US)));
            startTimesById.put(id, startTime);
        }
        return startTime.proxyClockUs();
    }

    /** Records that a list has been applied completely. */
    void listApplied(long nowUs) {
        lastListAtUs = nowUs;
    }
}
