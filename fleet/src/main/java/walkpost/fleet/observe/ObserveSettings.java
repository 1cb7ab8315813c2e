package walkpost.fleet.observe;

/**
 * The settings of observers and of the voters that feed them. All members of a fleet must have the same; times are in microseconds.
 *
 * @param heartbeatUs the period of an observer's heartbeats to each of its feeds
 * @param silenceUs an observer gives up a feed, and a voter forgets an observer, that it has not heard from for this long
 * @param retransmitUs the time after which an unanswered subscription, push or forwarded order is sent again
 * @param forwardTimeoutUs how long an observer tries to forward an operator's order, to one voter after another
 * @param minBackOffUs the shortest wait after a voter refused a subscription; it doubles up to {@code maxBackOffUs}, with jitter
 * @param rebalanceUs the mean period in which an observer checks whether a voter that it prefers is available again
 * @param maxObservers how many observers a voter serves
 * @param subscriptionsPerSecond how many subscriptions a voter accepts in a second; as many may arrive at once
 * @param removalUs how long a removal is remembered: a replica that was out of contact longer than another, by more than half of this
 *     time, is emptied before the two are compared
 */
public record ObserveSettings(long heartbeatUs, long silenceUs, long retransmitUs, long forwardTimeoutUs, long minBackOffUs,
        long maxBackOffUs, long rebalanceUs, int maxObservers, int subscriptionsPerSecond, long removalUs) {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;

    public ObserveSettings {
        if (heartbeatUs <= 0 || silenceUs < 2 * heartbeatUs || retransmitUs <= 0 || forwardTimeoutUs < retransmitUs || minBackOffUs <= 0
                || maxBackOffUs < minBackOffUs || rebalanceUs < silenceUs || maxObservers <= 0 || subscriptionsPerSecond <= 0
                || removalUs <= 2 * silenceUs) {
            throw new IllegalArgumentException("observe settings must be above zero, with silenceUs >= 2 * heartbeatUs, "
                    + "forwardTimeoutUs >= retransmitUs, maxBackOffUs >= minBackOffUs, rebalanceUs >= silenceUs and "
                    + "removalUs > 2 * silenceUs, but are " + this);
        }
    }

    /** Returns the settings that {@code docs/fleet.md} describes. */
    public static ObserveSettings defaults() {
        return new ObserveSettings(2 * SECOND, 5 * SECOND, 400 * MS, 2_400 * MS, 500 * MS, 4 * SECOND, 60 * SECOND, 300, 60,
                24 * 3600 * SECOND);
    }
}
