package firwheel.routing;

import java.time.Duration;

/**
 * Decides whether requests for one model or service spill over from the entry's own zone to other zones. Spillover
 * starts after the occupancy of the own zone has been high for a sustained period and ends after it has been low for as
 * long; a single refusal does not change it. Thread-safe.
 */
final class ZoneSpillover {
    private static final double HIGH_OCCUPANCY = 1.0;
    private static final double LOW_OCCUPANCY = 0.8;
    private static final long MIN_SUSTAINED_NANOS = Duration.ofSeconds(1).toNanos();

    private boolean spilling;
    private boolean thresholdCrossed;
    private long crossedAtNanos;

    /**
     * Records the current occupancy and returns whether requests spill over.
     *
     * @param occupancy running and queued requests divided by the maximum number of running requests
     */
    synchronized boolean update(double occupancy, long nowNanos) {
        boolean pastThreshold = spilling ? occupancy < LOW_OCCUPANCY : occupancy >= HIGH_OCCUPANCY;
        if (pastThreshold && !thresholdCrossed) {
            crossedAtNanos = nowNanos;
        }
        thresholdCrossed = pastThreshold;
        if (thresholdCrossed && nowNanos - crossedAtNanos >= MIN_SUSTAINED_NANOS) {
            spilling = !spilling;
            thresholdCrossed = false;
        }
        return spilling;
    }
}
