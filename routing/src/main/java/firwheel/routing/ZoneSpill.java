package firwheel.routing;

import java.time.Duration;

/**
 * Tells whether work of one model or service spills from the own zone to others. It starts once the own zone's measured
 * occupancy has stayed high and ends once it has stayed low; a single refusal does neither. Thread-safe.
 */
final class ZoneSpill {
    private static final double HIGH_OCCUPANCY = 1.0;
    private static final double LOW_OCCUPANCY = 0.8;
    private static final long HOLD_NANOS = Duration.ofSeconds(1).toNanos();

    private boolean spilling;
    private boolean crossed;
    private long crossedAtNanos;

    /** Notes the occupancy measured now (1 when as many requests are present as may run) and returns the decision. */
    synchronized boolean update(double occupancy, long nowNanos) {
        boolean beyond = spilling ? occupancy < LOW_OCCUPANCY : occupancy >= HIGH_OCCUPANCY;
        if (beyond && !crossed) {
            crossedAtNanos = nowNanos;
        }
        crossed = beyond;
        if (crossed && nowNanos - crossedAtNanos >= HOLD_NANOS) {
            spilling = !spilling;
            crossed = false;
        }
        return spilling;
    }
}
