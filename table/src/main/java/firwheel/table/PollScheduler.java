package firwheel.table;

import java.time.Duration;
import java.util.Random;

/**
 * Computes the delays between polls of the platform so that the entries of a zone together make a few reads per second,
 * regardless of their number. The delay is bounded, so that a host partitioned from its peers still learns of changes
 * in time.
 */
public final class PollScheduler {
    private static final double ZONE_READS_PER_SECOND = 4;
    private static final double JITTER = 0.2;

    private static final double MIN_DELAY_MILLIS = 250;
    private static final double MAX_DELAY_MILLIS = 2_500;

    private final Random random;

    /** Creates a scheduler that takes its jitter from {@code random}. */
    public PollScheduler(Random random) {
        this.random = random;
    }

    /**
     * Returns the delay before the next poll.
     *
     * @param zoneEntries linked entries of the zone, including this one
     * @param failing whether the last poll failed; the mean delay is then the maximum
     */
    public Duration nextDelay(int zoneEntries, boolean failing) {
        double shareMillis = 1_000.0 * Math.max(1, zoneEntries) / ZONE_READS_PER_SECOND;
        double boundedMillis = Math.max(MIN_DELAY_MILLIS, Math.min(shareMillis, MAX_DELAY_MILLIS));
        double meanMillis = failing ? MAX_DELAY_MILLIS : boundedMillis;
        double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (meanMillis * jitter * 1_000_000));
    }
}
