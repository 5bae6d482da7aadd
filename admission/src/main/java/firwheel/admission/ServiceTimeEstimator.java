package firwheel.admission;

/** Exponential moving averages of service times per attempt and per token. Not thread-safe. */
final class ServiceTimeEstimator {
    private static final int MIN_SAMPLES = 8;
    private static final double SMOOTHING_FACTOR = 0.1;

    private int samples;
    private double millisPerAttempt;
    private double millisPerToken;

    void add(long serviceMillis, int tokens) {
        double perToken = (double) serviceMillis / tokens;
        if (samples == 0) {
            millisPerAttempt = serviceMillis;
            millisPerToken = perToken;
        } else {
            millisPerAttempt += SMOOTHING_FACTOR * (serviceMillis - millisPerAttempt);
            millisPerToken += SMOOTHING_FACTOR * (perToken - millisPerToken);
        }
        samples++;
    }

    /**
     * Returns the estimated wait behind {@code ahead} attempts when {@code slots} attempts run concurrently; 0 while
     * there are too few samples.
     */
    long estimateWaitMillis(int ahead, int slots) {
        return samples < MIN_SAMPLES ? 0 : Math.round((ahead + 1) * millisPerAttempt / slots);
    }

    /** Returns the estimated service time of an attempt with this many tokens; 0 while there are too few samples. */
    long estimateServiceMillis(int tokens) {
        return samples < MIN_SAMPLES ? 0 : Math.round(tokens * millisPerToken);
    }
}
