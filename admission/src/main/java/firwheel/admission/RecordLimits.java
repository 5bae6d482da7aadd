package firwheel.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of an agent's memory of attempts.
 *
 * @param maxRecords attempts and tombstones
 * @param maxEndedBytes chunks kept of ended streams
 * @param retention how long an ended attempt is remembered; longer than the longest request deadline
 */
public record RecordLimits(int maxRecords, long maxEndedBytes, Duration retention) {
    /** Bounds that hold a few minutes of one rank's work. */
    public static final RecordLimits DEFAULT = new RecordLimits(65_536, 64L << 20, Duration.ofMinutes(15));

    public RecordLimits {
        Objects.requireNonNull(retention, "retention");
        if (maxRecords < 1 || maxEndedBytes < 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
