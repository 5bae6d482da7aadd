package firwheel.store;

import firwheel.model.TimeSource;
import java.time.Duration;

/** Stops calls for a while after several failures in a row, then lets single calls try. Thread-safe. */
public final class CircuitBreaker {
    private final TimeSource time;
    private final int failuresToOpen;
    private final long openNanos;
    private int failures;
    private long openUntilNanos;

    /** Creates a closed breaker that opens for {@code openFor} after {@code failuresToOpen} failures in a row. */
    public CircuitBreaker(TimeSource time, int failuresToOpen, Duration openFor) {
        this.time = time;
        this.failuresToOpen = failuresToOpen;
        this.openNanos = openFor.toNanos();
    }

    /** Returns whether a call may be made. While open, one call passes at the end of each waiting time. */
    public synchronized boolean tryCall() {
        if (failures < failuresToOpen) {
            return true;
        }
        long now = time.monotonicNanos();
        if (now < openUntilNanos) {
            return false;
        }
        openUntilNanos = now + openNanos;
        return true;
    }

    /** Takes the result of a call. */
    public synchronized void onResult(boolean success) {
        if (success) {
            failures = 0;
            return;
        }
        failures++;
        if (failures == failuresToOpen) {
            openUntilNanos = time.monotonicNanos() + openNanos;
        }
    }
}
