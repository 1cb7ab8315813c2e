package walkpost;

/**
 * The slow start of one server: how warm it is, and how many requests this proxy may send it until it is warm, so that all proxies
 * together do not overload it. Used by the thread of its {@link Policy} only. All times are on the proxy's clock, in microseconds.
 */
final class SlowStart {
    /** The part of the allowance that is used, because requests differ in size and the capacity is an estimate. */
    private static final double ALLOWANCE_USED = 0.4;

    private long startedAt;
    private double tokens;
    private long tokensAt;

    /**
     * Begins a slow start with {@code firstTokens} requests, a random part of one. Each of hundreds of proxies may be allowed less than
     * one request, and with a random beginning some of them may send theirs at once.
     */
    void begin(double firstTokens, long now) {
        tokens = firstTokens;
        tokensAt = now;
    }

    /** Sets when the server started, by the list or by the operators' exclusion that ended; 0 means long ago. */
    void setStartedAt(long at) {
        startedAt = at;
    }

    /** Returns the time by which the server is warm, or {@link Long#MIN_VALUE} if it started long ago. */
    long warmAt(Balancer.Rules rules) {
        return startedAt <= 0 ? Long.MIN_VALUE : startedAt + rules.coldUs();
    }

    /** Returns the part of its full capacity that the server certainly has: 1 once it is warm. */
    double warmth(long now, Balancer.Rules rules) {
        if (startedAt <= 0 || now - startedAt >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, now - startedAt) / rules.coldUs();
    }

    /**
     * Returns how many requests the server may still be sent, as a token bucket. {@code warmRatePerUs} is the rate that it can serve
     * this proxy once it is warm. A quarter of this proxy's part of a window may be sent at once, and the rest in the course of the window,
     * so that no window holds more than the whole part.
     *
     * <p>If the part is less than one request, the proxies take turns, in the order in which their buckets fill. A turn that is not used
     * expires after a window, and the next one comes when the bucket is full again: if turns were saved up, all proxies would send at once
     * after a time with few requests.
     */
    double allowance(long now, Balancer.Rules rules, double warmRatePerUs) {
        double allowedPerUs = ALLOWANCE_USED * rules.fallMultiple() * warmth(now, rules) * warmRatePerUs;
        double allowedInWindow = allowedPerUs * rules.fallUs();
        double burst = Math.max(allowedInWindow / 4, Math.min(1, 0.75 * allowedInWindow));
        tokens += 0.75 * allowedPerUs * (now - tokensAt);
        tokens -= Math.max(0, Math.ceil(tokens - burst - 1));
        tokensAt = now;
        return tokens;
    }

    void requestSent() {
        tokens -= 1;
    }
}
