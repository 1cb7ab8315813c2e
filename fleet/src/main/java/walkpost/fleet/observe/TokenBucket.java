package walkpost.fleet.observe;

/** A token bucket that refills at a constant rate and holds at most the tokens of one second. */
final class TokenBucket {
    private final double tokensPerSecond;
    private double tokens;
    private long refilledAtUs = Long.MIN_VALUE;

    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
    }

    /** Takes the given number of tokens, or takes none and returns false if there are fewer. */
    boolean take(long nowUs, int count) {
        if (refilledAtUs != Long.MIN_VALUE) {
            tokens = Math.min(tokensPerSecond, tokens + tokensPerSecond * (nowUs - refilledAtUs) / 1e6);
        }
        refilledAtUs = nowUs;
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}
