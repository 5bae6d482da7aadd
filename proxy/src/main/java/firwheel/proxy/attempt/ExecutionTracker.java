package firwheel.proxy.attempt;

/**
 * What is known of whether one request has run. Counts each time the request was handed to a target, and each time the
 * target stated that it did not run it. Only where both counts agree is it proven that the request has not run.
 */
public final class ExecutionTracker {
    private int sends;
    private int provenNotExecuted;

    /** Notes that the request is about to be written to a target. */
    public void recordSend() {
        sends++;
    }

    /** Notes that the target of the latest send stated that it did not run the request and will not. */
    public void recordNotExecuted() {
        provenNotExecuted++;
    }

    /** Returns how often the request was handed to a target. */
    public int sends() {
        return sends;
    }

    /** Returns whether the request has surely not run and never will. */
    public boolean provenNotExecuted() {
        return sends == provenNotExecuted;
    }

    /**
     * Returns whether the request may be handed to another target.
     *
     * @param repeatable whether it may run more than once
     * @param maxAttempts most targets that it may be handed to
     */
    public boolean mayRetry(boolean retryable, int maxAttempts) {
        return sends < maxAttempts && (retryable || provenNotExecuted());
    }
}
