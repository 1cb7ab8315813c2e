package walkpost;

/** The start of one backend: how warm it is, and what it may be sent until it is warm (rule 4). Times are the proxy's, in us. */
final class SlowStart {
    /** Part of the allowance that is used: requests differ in size and capacity is a guess. */
    private static final double MARGIN = 0.4;

    private long startedAt;
    private double tokens;
    private long tokensAt;

    /** It was started anew. Of hundreds of proxies each may send it less than one request: so some send theirs. */
    void begin(double firstTokens, long now) {
        tokens = firstTokens;
        tokensAt = now;
    }

    /** Sets when it started, by the list or by what the operators did; 0 for long ago. */
    void startedAt(long at) {
        startedAt = at;
    }

    /** Returns when it is warm at the latest. */
    long warmAt(Balancer.Rules rules) {
        return startedAt <= 0 ? Long.MIN_VALUE : startedAt + rules.coldUs();
    }

    /** Returns the part of its capacity that it is sure to have: 1 once it is warm. */
    double warmth(long now, Balancer.Rules rules) {
        if (startedAt <= 0 || now - startedAt >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, now - startedAt) / rules.coldUs();
    }

    /**
     * Returns what it may still be sent, in requests, of the {@code perUs} that it bears of this proxy once it is warm. A
     * quarter of this proxy's part may come at once and the rest in the course of each window: no window holds more than the
     * whole.
     *
     * <p>Where a part is less than one request, proxies take turns, by when each began to save. A turn that was not used is
     * over after a window and the next comes in its time: if all saved up, after a lull all would send at once.
     */
    double allowance(long now, Balancer.Rules rules, double perUs) {
        double allowedPerUs = MARGIN * rules.fallMultiple() * warmth(now, rules) * perUs;
        double allowed = allowedPerUs * rules.fallUs();
        double atOnce = Math.max(allowed / 4, Math.min(1, 0.75 * allowed));
        tokens += 0.75 * allowedPerUs * (now - tokensAt);
        tokens -= Math.max(0, Math.ceil(tokens - atOnce - 1));
        tokensAt = now;
        return tokens;
    }

    void sent() {
        tokens -= 1;
    }
}
