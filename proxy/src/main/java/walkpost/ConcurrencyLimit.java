package walkpost;

/**
 * How many attempts this proxy may have out: what is answered in a part of the shortest aim, what keeps backends busy, or a
 * floor by their cores. It owns the rate of answers that this rests on. Times are the proxy's, in us.
 */
final class ConcurrencyLimit {
    /** Attempts out may take this part of the shortest aim, by the rate of answers; held ones that again. */
    private static final double SHARE = 1 / 5.0;
    /** But never less than this part of the least mean response time, or backends idle and it cannot grow. */
    private static final double BUSY = 1.2;
    /** Attempts out for each backend, by all proxies, that are never too many; under 3 it is a mean. */
    private static final double FLOOR = 3;
    /** Part of a backend's rate that a refresh keeps at most. */
    private static final double BORNE_KEPT = 0.8;

    private int balancers;
    private long refreshUs;
    private long targetUs;
    private long now;
    private int out;
    private double most;
    private double spare;
    private double refused;
    private long spareAt;
    private double answersPerUs;
    private long answersAt;
    private double idleUs;
    private double borne;
    private int refreshes;

    void tune(int balancersNow, long shortestAimUs, long refreshEveryUs) {
        balancers = balancersNow;
        targetUs = (long) (SHARE * shortestAimUs);
        refreshUs = refreshEveryUs;
    }

    /** The part of a warm backend's concurrency that counts for one of this warmth, however cold. */
    static double part(double warmth) {
        return Math.max(1 / FLOOR, warmth);
    }

    /** Sets the limit for this moment, by the number of backends and the mean of their {@link #part}. */
    void set(long nowUs, int servers, double warm) {
        now = nowUs;
        double byRate = answerRate() * Math.max(targetUs, BUSY * idleUs);
        // With less than a backend to itself, a proxy tells a crowd from bad luck by how much it refuses.
        double share = servers / (double) balancers;
        double cores = Math.min(FLOOR, Math.max(1, borne * balancers * idleUs));
        // Cold backends can't take their part: counted in full, it would all go to the warm ones.
        most = Math.max(byRate, warm * share * (FLOOR + (share < 1 ? cores * (1 - refused) - refused : 0)));
        // One of hundreds of proxies may have less than one attempt out: in the mean of a time.
        spare = Math.min(most * refreshUs, spare + (most - out) * (now - spareAt));
        spareAt = now;
    }

    /**
     * Whether one more may be out: the limit's whole part always, the rest as it was left unused. Dearer ones may overdraw,
     * by the part of classes {@code cheaper}: a proxy of hundreds never holds enough requests to order them by worth.
     */
    boolean allowsOneMore(double cheaper) {
        return out < Math.max(most, FLOOR) && (out + 1 <= most || spare >= -cheaper * most * refreshUs);
    }

    void sent() {
        out++;
    }

    void ended() {
        out--;
    }

    void answered() {
        answersPerUs = answerRate() + 1.0 / refreshUs;
        answersAt = now;
        refused -= refused / 16;
    }

    void refused() {
        refused += (1 - refused) / 16;
    }

    /** Takes over what {@code servers} backends bear, and a mean response time, 0 where none is known. */
    void refresh(double meanUs, int servers) {
        // Slowly: the answers of backends that have just left the list tell nothing of those that stay.
        idleUs = idleUs == 0 ? meanUs : Math.min(idleUs, meanUs);
        double bears = answerRate() / Math.max(1, servers);
        borne += (bears - borne) * Math.max(1.0 / ++refreshes, 1 - BORNE_KEPT);
    }

    /** Returns the answers a us, in the mean of the last refresh or so. */
    double answerRate() {
        return answersPerUs * Math.exp((answersAt - now) / (double) refreshUs);
    }

    /** Returns the attempts that are out in the mean where nothing waits for another. */
    double busy() {
        return answerRate() * idleUs;
    }

    /** Returns the answers a us of this proxy that a backend has borne. */
    double borne() {
        return borne;
    }

    double most() {
        return most;
    }

    /** Returns the time whose answers may be out. */
    long targetUs() {
        return targetUs;
    }
}
