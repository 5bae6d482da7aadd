package firwheel.routing;

/**
 * Token bucket that limits retries to a fraction of recent successes, so that retries cease when all requests fail.
 * Thread-safe.
 */
public final class RetryBudget {
    private final double tokensPerSuccess;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a budget that starts full.
     *
     * @param tokensPerSuccess number of retries that one success adds to the budget
     * @param maxTokens maximum number of retries in the budget
     */
    public RetryBudget(double tokensPerSuccess, double maxTokens) {
        if (!(tokensPerSuccess >= 0) || !(maxTokens >= 0)) {
            throw new IllegalArgumentException("tokensPerSuccess and maxTokens must not be negative");
        }
        this.tokensPerSuccess = tokensPerSuccess;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Records a request that succeeded, at its first attempt or a retry. */
    public synchronized void onSuccess() {
        tokens = Math.min(maxTokens, tokens + tokensPerSuccess);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public synchronized boolean tryAcquire() {
        if (tokens < 1.0) {
            return false;
        }
        tokens -= 1.0;
        return true;
    }

    /** Returns a retry that was taken but not used. */
    public synchronized void release() {
        tokens = Math.min(maxTokens, tokens + 1.0);
    }
}
