package walkpost;

/**
 * Limits the attempts that this proxy may have in flight. The limit is the largest of three: the attempts that are answered in a part of
 * the shortest aim, those that keep the servers busy, and a minimum by the servers' cores. This class also measures the rate of answers
 * from which the limit is computed. Used by the thread of its {@link Policy} only. All times are on the proxy's clock, in microseconds.
 */
final class ConcurrencyLimit {
    /** At the rate of answers, the attempts in flight may take this part of the shortest aim, and the queued requests as much again. */
    private static final double TARGET_PER_AIM = 1 / 5.0;
    /** The target time is at least this multiple of the unloaded response time; with less, servers idle and the limit cannot grow. */
    private static final double MIN_TARGET_PER_UNLOADED_TIME = 1.2;
    /**
     * Attempts in flight at each server, from all proxies together, that are always allowed. If this proxy's limit is below this number,
     * the limit is kept as a mean over time.
     */
    private static final double MIN_PER_SERVER = 3;
    /** The largest part of the mean rate of answers of a server that is kept at a refresh; the first refreshes keep less. */
    private static final double SERVER_RATE_KEPT = 0.8;

    private int balancers;
    private long refreshPeriodUs;
    private long targetUs;
    private long now;
    private int inFlight;
    private double limit;
    /** The part of the limit that was left unused, summed up over time: attempts times microseconds. */
    private double unusedAttemptUs;
    private long unusedUpdatedAt;
    private double refusedPart;
    private double answersPerUs;
    private long answersUpdatedAt;
    /** The least mean response time of all servers: that of requests which do not wait for others. */
    private double unloadedUs;
    private double answersPerUsAndServer;
    private int refreshes;

    /** Applies the settings; the state so far is kept. */
    void configure(int newBalancers, long shortestAimUs, long newRefreshPeriodUs) {
        balancers = newBalancers;
        targetUs = (long) (TARGET_PER_AIM * shortestAimUs);
        refreshPeriodUs = newRefreshPeriodUs;
    }

    /** Returns the concurrency of a server of this warmth, as a part of a warm server's; it has a minimum, however cold the server. */
    static double concurrencyPart(double warmth) {
        return Math.max(1 / MIN_PER_SERVER, warmth);
    }

    /** Updates the limit, from the number of servers and the mean of their {@link #concurrencyPart}. */
    void update(long nowUs, int servers, double meanConcurrencyPart) {
        now = nowUs;
        double limitByRate = answerRate() * Math.max(targetUs, MIN_TARGET_PER_UNLOADED_TIME * unloadedUs);
        // A proxy with less than one server to itself distinguishes overload from chance by the part of requests that it refuses.
        double serversPerProxy = servers / (double) balancers;
        double estimatedCores = Math.min(MIN_PER_SERVER, Math.max(1, answersPerUsAndServer * balancers * unloadedUs));
        // Cold servers cannot take their part. If they were counted in full, their part would all go to the warm ones.
        limit = Math.max(limitByRate, meanConcurrencyPart * serversPerProxy
                * (MIN_PER_SERVER + (serversPerProxy < 1 ? estimatedCores * (1 - refusedPart) - refusedPart : 0)));
        // One of hundreds of proxies may have a limit below one attempt: it is then kept as a mean over time.
        unusedAttemptUs = Math.min(limit * refreshPeriodUs, unusedAttemptUs + (limit - inFlight) * (now - unusedUpdatedAt));
        unusedUpdatedAt = now;
    }

    /**
     * Returns whether one more attempt may be sent. That is always so up to the integer part of the limit; one attempt more may be sent if
     * the limit was left unused before. Requests of more valuable classes may overdraw, by {@code cheaperClassesPart}, the part of all
     * classes that are worth less: one of hundreds of proxies never queues enough requests to order them by worth.
     */
    boolean allowsOneMore(double cheaperClassesPart) {
        return inFlight < Math.max(limit, MIN_PER_SERVER)
                && (inFlight + 1 <= limit || unusedAttemptUs >= -cheaperClassesPart * limit * refreshPeriodUs);
    }

    void attemptSent() {
        inFlight++;
    }

    void attemptEnded() {
        inFlight--;
    }

    void requestAnswered() {
        answersPerUs = answerRate() + 1.0 / refreshPeriodUs;
        answersUpdatedAt = now;
        refusedPart -= refusedPart / 16;
    }

    void requestRefused() {
        refusedPart += (1 - refusedPart) / 16;
    }

    /** Updates the rate of answers of a server and the unloaded response time; {@code meanResponseUs} is 0 if none is known. */
    void refresh(double meanResponseUs, int servers) {
        unloadedUs = unloadedUs == 0 ? meanResponseUs : Math.min(unloadedUs, meanResponseUs);
        double rateNow = answerRate() / Math.max(1, servers);
        // The rate changes slowly, because the answers of servers that have just left the list say nothing about those that stay.
        answersPerUsAndServer += (rateNow - answersPerUsAndServer) * Math.max(1.0 / ++refreshes, 1 - SERVER_RATE_KEPT);
    }

    /** Returns the answers in a microsecond, as a mean over about the last refresh period. */
    double answerRate() {
        return answersPerUs * Math.exp((answersUpdatedAt - now) / (double) refreshPeriodUs);
    }

    /** Returns the mean number of attempts in flight if no request waited for another. */
    double unloadedConcurrency() {
        return answerRate() * unloadedUs;
    }

    /** Returns the mean number of answers in a microsecond that this proxy has had from one server. */
    double answersPerUsAndServer() {
        return answersPerUsAndServer;
    }

    double limit() {
        return limit;
    }

    /** Returns the time in which, at the rate of answers, all attempts in flight are to be answered. */
    long targetUs() {
        return targetUs;
    }
}
