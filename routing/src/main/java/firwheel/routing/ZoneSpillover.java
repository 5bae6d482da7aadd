package firwheel.routing;

import java.time.Duration;

/**
 * Tells whether work of one model or service spills from the own zone to others. It starts once the own zone's measured
 * occupancy has stayed high and ends once it has stayed low; a single refusal does neither. Thread-safe.
 */
final class ZoneSpillover {
    private static final double HIGH_OCCUPANCY = 1.0;
    private static final double LOW_OCCUPANCY = 0.8;
    private static final long MIN_SUSTAINED_NANOS = Duration.ofSeconds(1).toNanos();

    private boolean spilling;
    private boolean thresholdCrossed;
    private long crossedAtNanos;

    /** Notes the occupancy measured now (1 when as many requests are present as may run) and returns the decision. */
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
