package firwheel.store;

import firwheel.model.TimeSource;
import java.time.Duration;

/**
 * Circuit breaker that opens after a number of consecutive failures and, while open, admits one trial call per open
 * period. A successful call closes it. Thread-safe.
 */
public final class CircuitBreaker {
    private final TimeSource time;
    private final int failureThreshold;
    private final long openDurationNanos;
    private int consecutiveFailures;
    private long openUntilNanos;

    /**
     * Creates a closed breaker that opens for {@code openDuration} after {@code failureThreshold} consecutive failures.
     */
    public CircuitBreaker(TimeSource time, int failureThreshold, Duration openDuration) {
        this.time = time;
        this.failureThreshold = failureThreshold;
        this.openDurationNanos = openDuration.toNanos();
    }

    /**
     * Returns whether a call may be made now. While the breaker is open, one trial call is admitted per open period.
     */
    public synchronized boolean tryAcquirePermission() {
        if (consecutiveFailures < failureThreshold) {
            return true;
        }
        long now = time.monotonicNanos();
        if (now < openUntilNanos) {
            return false;
        }
        openUntilNanos = now + openDurationNanos;
        return true;
    }

    /** Records the outcome of a call. */
    public synchronized void recordResult(boolean success) {
        if (success) {
            consecutiveFailures = 0;
            return;
        }
        consecutiveFailures++;
        if (consecutiveFailures == failureThreshold) {
            openUntilNanos = time.monotonicNanos() + openDurationNanos;
        }
    }
}
