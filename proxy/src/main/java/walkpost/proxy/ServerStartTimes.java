package walkpost.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells when servers started, on the proxy's own clock. Lists tell it in Unix time, and the wall clock of this machine, which the proxy's
 * clock began with, may have been set wrong: an hour ahead, a server that has just started would be taken for warm; an hour behind, it
 * would be held for cold until the hour is over. Three things are known without that clock: no server starts in the future; one that a
 * list did not name started after that list was drawn up; and what was told of a start once stays as it was. Pure; times are in
 * microseconds where not said otherwise.
 */
final class ServerStartTimes {
    /** How long after its start a server may be missing from the lists. */
    static final long LISTED_LATE_US = 10_000_000;
    /** So many starts are kept in mind, those not listed for the longest time dropped first: 100 B each. */
    private static final int MOST_KNOWN = 16_384;

    private record Start(long unixMs, long localUs) { }

    private final Map<String, Start> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MOST_KNOWN;
        }
    };
    /** By how much the clock of the lists is surely ahead of the proxy's. */
    private long aheadUs;
    private long lastListUs = Long.MIN_VALUE / 2;

    /** A list names a start at a Unix time, in milliseconds: the clock of the lists is past it. To be called before its entries are asked for. */
    void named(long unixMs, long nowUs) {
        aheadUs = Math.max(aheadUs, unixMs * 1_000 - nowUs);
    }

    /**
     * Returns when a server started, on the proxy's clock; 0 for long ago.
     *
     * @param unixMs its start as the list has it, in milliseconds of Unix time
     */
    long localUs(String id, long unixMs, long nowUs) {
        if (unixMs <= 0) {
            return 0;
        }
        Start start = known.get(id);
        if (start == null || start.unixMs() != unixMs) {
            long byClock = Math.min(nowUs, unixMs * 1_000 - aheadUs);
            start = new Start(unixMs, Math.max(1, Math.max(byClock, lastListUs - LISTED_LATE_US)));
            known.put(id, start);
        }
        return start.localUs();
    }

    /** A list has been taken in whole. */
    void listed(long nowUs) {
        lastListUs = nowUs;
    }
}
