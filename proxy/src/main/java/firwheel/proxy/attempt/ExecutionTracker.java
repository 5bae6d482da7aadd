package firwheel.proxy.attempt;

/**
 * Tracks whether a request may have been executed. Counts how often the request was sent to a target, and how often the
 * target stated that it did not execute it. Only if both counts are equal is it proven that the request was not
 * executed.
 */
public final class ExecutionTracker {
    private int sends;
    private int provenNotExecuted;

    /** Records that the request is about to be sent to a target. */
    public void recordSend() {
        sends++;
    }

    /** Records that the target of the latest send stated that it did not execute the request and will not. */
    public void recordNotExecuted() {
        provenNotExecuted++;
    }

    /** Returns how often the request was sent to a target. */
    public int sends() {
        return sends;
    }

    /** Returns whether it is certain that the request was not executed and will not be. */
    public boolean provenNotExecuted() {
        return sends == provenNotExecuted;
    }

    /**
     * Returns whether the request may be sent to another target.
     *
     * @param retryable whether it may be executed more than once
     * @param maxAttempts maximum number of sends
     */
    public boolean mayRetry(boolean retryable, int maxAttempts) {
        return sends < maxAttempts && (retryable || provenNotExecuted());
    }
}
