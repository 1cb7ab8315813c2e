package walkpost;

/** The answers of one kind of machine: its mean response time, and what part of it goes with a request's guessed cost. In us. */
final class Kind {
    /** Answers that a mean remembers: it drifts slowly. */
    static final int MEMORY = 1024;

    private double meanUs;
    private int samples;
    private int costs;
    private double meanCost;
    private double meanTook;
    private double variance;
    private double covariance;
    private long learnedAt;

    void learn(double latencyUs) {
        samples = Math.min(samples + 1, MEMORY);
        meanUs += (latencyUs - meanUs) / samples;
    }

    /** What an answer took, against what it was guessed to cost: the rest is waiting, whatever the cost. */
    void learn(double latencyUs, double costUs, long now) {
        learnedAt = now;
        costs = Math.min(costs + 1, MEMORY);
        double offCost = costUs - meanCost;
        double offTook = latencyUs - meanTook;
        meanCost += offCost / costs;
        meanTook += offTook / costs;
        variance += (offCost * (costUs - meanCost) - variance) / costs;
        covariance += (offTook * (costUs - meanCost) - covariance) / costs;
    }

    /** Returns what a unit of cost takes here, 0 while that is not known, or no longer. */
    double perCost(long now, long forgetUs) {
        return costs < MEMORY / 32 || variance <= 0 || now - learnedAt > forgetUs ? 0
                : Math.max(0, Math.min(covariance / variance, meanTook / meanCost));
    }

    boolean seen() {
        return samples > 0;
    }

    /** Whether so many have answered that the mean is no accident. */
    boolean settled() {
        return samples >= MEMORY / 32;
    }

    double meanUs() {
        return meanUs;
    }
}
