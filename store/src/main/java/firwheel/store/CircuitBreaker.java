package firwheel.store;

import firwheel.model.TimeSource;
import java.time.Duration;

/** Stops calls for a while after several failures in a row, then lets single calls try. Thread-safe. */
public final class CircuitBreaker {
    private final TimeSource time;
    private final int failureThreshold;
    private final long openDurationNanos;
    private int consecutiveFailures;
    private long openUntilNanos;

    /** Creates a closed breaker that opens for {@code openFor} after {@code failuresToOpen} failures in a row. */
    public CircuitBreaker(TimeSource time, int failureThreshold, Duration openDuration) {
        this.time = time;
        this.failureThreshold = failureThreshold;
        this.openDurationNanos = openDuration.toNanos();
    }

    /** Returns whether a call may be made. While open, one call passes at the end of each waiting time. */
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

    /** Takes the result of a call. */
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
