package firwheel.model;

import java.time.Duration;
import java.time.Instant;

/** Time source that advances only through {@link #advance}. Not thread-safe. */
public final class ManualTimeSource implements TimeSource {
    private final Instant origin;
    private long elapsedNanos;

    /** Creates a time source that starts at {@code origin} with a monotonic time of zero. */
    public ManualTimeSource(Instant origin) {
        this.origin = origin;
    }

    /** Advances both the wall-clock and the monotonic time. */
    public void advance(Duration step) {
        elapsedNanos += step.toNanos();
    }

    @Override
    public Instant now() {
        return origin.plusNanos(elapsedNanos);
    }

    @Override
    public long monotonicNanos() {
        return elapsedNanos;
    }
}
