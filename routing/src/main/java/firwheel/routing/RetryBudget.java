package firwheel.routing;

/**
 * Limits retries to a share of the recent successes, so that retries die down when everything fails. One for each
 * target group and one for the whole entry. Thread-safe.
 */
public final class RetryBudget {
    private final double tokensPerSuccess;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a budget that starts full.
     *
     * @param tokensPerSuccess retries earned by one success
     * @param maxTokens retries that can be saved up
     */
    public RetryBudget(double tokensPerSuccess, double maxTokens) {
        if (!(tokensPerSuccess >= 0) || !(maxTokens >= 0)) {
            throw new IllegalArgumentException("a budget must not be negative");
        }
        this.tokensPerSuccess = tokensPerSuccess;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Notes a request that ended well at its first or a later attempt. */
    public synchronized void onSuccess() {
        tokens = Math.min(maxTokens, tokens + tokensPerSuccess);
    }

    /** Takes one retry out of the budget, or returns false if none is left. */
    public synchronized boolean tryAcquire() {
        if (tokens < 1.0) {
            return false;
        }
        tokens -= 1.0;
        return true;
    }

    /** Puts back a retry that was taken but not made. */
    public synchronized void release() {
        tokens = Math.min(maxTokens, tokens + 1.0);
    }
}
