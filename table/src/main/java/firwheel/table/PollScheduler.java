package firwheel.table;

import java.time.Duration;
import java.util.Random;

/**
 * Spaces the polls of the platform so that the entries of a zone together make a few reads a second, however many they
 * are. The wait is bounded, so that a host cut off from its peers still learns of changes in time.
 */
public final class PollScheduler {
    private static final double ZONE_READS_PER_SECOND = 4;
    private static final double JITTER = 0.2;

    private static final double MIN_DELAY_MILLIS = 250;
    private static final double MAX_DELAY_MILLIS = 2_500;

    private final Random random;

    /** Creates a poller. */
    public PollScheduler(Random random) {
        this.random = random;
    }

    /**
     * Returns the wait before the next poll.
     *
     * @param zoneEntries live entries of the zone, this one included
     * @param failing whether the last poll failed
     */
    public Duration nextDelay(int zoneEntries, boolean failing) {
        double shareMillis = 1_000.0 * Math.max(1, zoneEntries) / ZONE_READS_PER_SECOND;
        double boundedMillis = Math.max(MIN_DELAY_MILLIS, Math.min(shareMillis, MAX_DELAY_MILLIS));
        double meanMillis = failing ? MAX_DELAY_MILLIS : boundedMillis;
        double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (meanMillis * jitter * 1_000_000));
    }
}
