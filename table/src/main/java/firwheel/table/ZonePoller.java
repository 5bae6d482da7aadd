package firwheel.table;

import java.time.Duration;
import java.util.Random;

/**
 * Spaces the polls of the platform so that the entries of a zone together make a few reads a second, however many they
 * are. The wait is bounded, so that a host cut off from its peers still learns of changes in time.
 */
public final class ZonePoller {
    private static final double ZONE_READS_PER_SECOND = 4;
    private static final double JITTER = 0.2;

    private static final double MIN_WAIT_MILLIS = 250;
    private static final double MAX_WAIT_MILLIS = 2_500;

    private final Random random;

    /** Creates a poller. */
    public ZonePoller(Random random) {
        this.random = random;
    }

    /**
     * Returns the wait before the next poll.
     *
     * @param zoneEntries live entries of the zone, this one included
     * @param failing whether the last poll failed
     */
    public Duration nextWait(int zoneEntries, boolean failing) {
        double shareMillis = 1_000.0 * Math.max(1, zoneEntries) / ZONE_READS_PER_SECOND;
        double boundedMillis = Math.max(MIN_WAIT_MILLIS, Math.min(shareMillis, MAX_WAIT_MILLIS));
        double meanMillis = failing ? MAX_WAIT_MILLIS : boundedMillis;
        double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (meanMillis * jitter * 1_000_000));
    }
}
