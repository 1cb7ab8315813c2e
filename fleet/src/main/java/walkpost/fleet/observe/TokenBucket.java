package walkpost.fleet.observe;

/** A token bucket: so many a second, and at most a second's worth at once. */
final class TokenBucket {
    private final double perSecond;
    private double tokens;
    private long filledUs = Long.MIN_VALUE;

    TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    /** Takes so many tokens, or none and returns false. */
    boolean take(long nowUs, int count) {
        if (filledUs != Long.MIN_VALUE) {
            tokens = Math.min(perSecond, tokens + perSecond * (nowUs - filledUs) / 1e6);
        }
        filledUs = nowUs;
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}
