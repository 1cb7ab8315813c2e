package walkpost.lab.discovery;

/**
 * A line of the list.
 *
 * @param place the address it stands at; each proxy knows it by another address
 * @param startedMs its last start in Unix time and milliseconds; 0 for long ago
 */
public record Entry(String id, int place, String zone, String kind, int cell, State state, double weight, long startedMs) {
    /** What the list says of a server. */
    public enum State { READY, DRAINING, GONE }

    /** Returns the same server in another state. */
    public Entry in(State next) {
        return new Entry(id, place, zone, kind, cell, next, weight, startedMs);
    }

    /** Returns the same server after another start. */
    public Entry startedAt(long unixMs) {
        return new Entry(id, place, zone, kind, cell, State.READY, weight, unixMs);
    }
}
