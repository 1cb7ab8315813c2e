package walkpost;

/**
 * Statistics of the response times of one kind of server: their mean, and by linear regression how they grow with the estimated cost
 * of a request. Used by the thread of its {@link Policy} only. All times are in microseconds.
 */
final class ResponseTimeStats {
    /** The most answers that a mean is weighted by, so that it drifts slowly. */
    static final int MAX_SAMPLES = 1024;
    private static final int MIN_RELIABLE_SAMPLES = MAX_SAMPLES / 32;

    private double meanUs;
    private int samples;
    private int costSamples;
    private double meanCostUs;
    private double meanLatencyUs;
    private double costVariance;
    private double covariance;
    private long lastCostSampleAt;

    void addLatency(double latencyUs) {
        samples = Math.min(samples + 1, MAX_SAMPLES);
        meanUs += (latencyUs - meanUs) / samples;
    }

    /** Adds a pair of estimated cost and latency to the regression. The part of a latency that does not grow with the cost is waiting. */
    void addLatencyForCost(double latencyUs, double costUs, long now) {
        lastCostSampleAt = now;
        costSamples = Math.min(costSamples + 1, MAX_SAMPLES);
        double costDeviation = costUs - meanCostUs;
        double latencyDeviation = latencyUs - meanLatencyUs;
        meanCostUs += costDeviation / costSamples;
        meanLatencyUs += latencyDeviation / costSamples;
        costVariance += (costDeviation * (costUs - meanCostUs) - costVariance) / costSamples;
        covariance += (latencyDeviation * (costUs - meanCostUs) - covariance) / costSamples;
    }

    /**
     * Returns the processing time for each unit of cost, or 0 if it is not known yet, or if no sample has come for {@code forgetUs}.
     */
    double timePerCost(long now, long forgetUs) {
        return costSamples < MIN_RELIABLE_SAMPLES || costVariance <= 0 || now - lastCostSampleAt > forgetUs ? 0
                : Math.max(0, Math.min(covariance / costVariance, meanLatencyUs / meanCostUs));
    }

    boolean hasSamples() {
        return samples > 0;
    }

    boolean hasReliableMean() {
        return samples >= MIN_RELIABLE_SAMPLES;
    }

    double meanUs() {
        return meanUs;
    }
}
