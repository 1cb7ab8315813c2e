package walkpost.fleet.observe;

/**
 * What observers and their voters go by. All members of a fleet are to have the same; times are in microseconds.
 *
 * @param beatUs the period of an observer's exchange with each of its voters
 * @param silenceUs a voter that has not answered for so long is given up, and an observer that was not heard for so long has gone
 * @param repeatUs after which a join, a push or a call that was not answered is sent again
 * @param callUs how long an operator's order is tried, over one voter after another
 * @param backOffUs the shortest wait after a voter refused to be joined; doubled up to {@code mostBackOffUs}, with a draw
 * @param rebalanceUs how often an observer looks whether a voter that it would rather have is back
 * @param mostObservers how many a voter takes
 * @param joinsPerSecond how many joins a voter takes in a second; as many at once
 * @param removalUs how long a removal is remembered: a copy that was away for half of that longer than another is emptied first
 */
public record ObserveSettings(long beatUs, long silenceUs, long repeatUs, long callUs, long backOffUs, long mostBackOffUs,
        long rebalanceUs, int mostObservers, int joinsPerSecond, long removalUs) {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;

    public ObserveSettings {
        if (beatUs <= 0 || silenceUs < 2 * beatUs || repeatUs <= 0 || callUs < repeatUs || backOffUs <= 0 || mostBackOffUs < backOffUs
                || rebalanceUs < silenceUs || mostObservers <= 0 || joinsPerSecond <= 0 || removalUs <= 2 * silenceUs) {
            throw new IllegalArgumentException("settings that do not go together: " + this);
        }
    }

    /** Returns what {@code docs/fleet.md} says. */
    public static ObserveSettings defaults() {
        return new ObserveSettings(2 * SECOND, 5 * SECOND, 400 * MS, 2_400 * MS, 500 * MS, 4 * SECOND, 60 * SECOND, 300, 60,
                24 * 3600 * SECOND);
    }
}
