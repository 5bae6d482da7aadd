package firwheel.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of {@link AttemptRecords}.
 *
 * @param maxRecords maximum number of records, including tombstones
 * @param maxEndedBytes maximum size of the buffered chunks of ended streams, in bytes
 * @param retention how long the record of an ended attempt is kept; longer than the longest request deadline
 */
public record RecordLimits(int maxRecords, long maxEndedBytes, Duration retention) {
    /** Default limits, enough for a few minutes of one rank's load. */
    public static final RecordLimits DEFAULT = new RecordLimits(65_536, 64L << 20, Duration.ofMinutes(15));

    public RecordLimits {
        Objects.requireNonNull(retention, "retention");
        if (maxRecords < 1 || maxEndedBytes < 0) {
            throw new IllegalArgumentException("maxRecords must be positive and maxEndedBytes must not be negative");
        }
    }
}
