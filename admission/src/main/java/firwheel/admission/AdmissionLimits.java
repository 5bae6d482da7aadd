package firwheel.admission;

import firwheel.model.TargetRow;
import java.time.Duration;
import java.util.Objects;

/**
 * Limits of one {@link AdmissionController}.
 *
 * @param maxInFlight maximum number of running attempts
 * @param maxQueue maximum number of queued attempts
 * @param maxTokensInFlight maximum prompt and output tokens of all running attempts
 * @param maxQueueBytes maximum size of all queued request bodies, in bytes
 * @param maxQueueWait maximum time that an attempt may be queued
 */
public record AdmissionLimits(
        int maxInFlight, int maxQueue, long maxTokensInFlight, long maxQueueBytes, Duration maxQueueWait) {
    private static final long DEFAULT_MAX_QUEUE_BYTES = 64L << 20;
    private static final Duration DEFAULT_MAX_QUEUE_WAIT = Duration.ofSeconds(30);

    public AdmissionLimits {
        Objects.requireNonNull(maxQueueWait, "maxQueueWait");
        if (maxInFlight < 1 || maxQueue < 0 || maxTokensInFlight < 1 || maxQueueBytes < 0) {
            throw new IllegalArgumentException(
                    "maxInFlight and maxTokensInFlight must be positive, the other limits must not be negative");
        }
    }

    /** Returns the limits of a row, with the default limits on queued bytes and queueing time. */
    public static AdmissionLimits of(TargetRow row) {
        return new AdmissionLimits(
                row.maxInFlight(),
                row.maxQueue(),
                row.maxTokensInFlight(),
                DEFAULT_MAX_QUEUE_BYTES,
                DEFAULT_MAX_QUEUE_WAIT);
    }
}
