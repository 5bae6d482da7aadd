package firwheel.admission;

import firwheel.model.TargetRow;
import java.time.Duration;
import java.util.Objects;

/**
 * Limits of one gate.
 *
 * @param maxInFlight attempts that run at once
 * @param maxQueue attempts that wait
 * @param maxTokensInFlight prompt and output tokens that run at once
 * @param maxQueueBytes request bodies that wait, in bytes
 * @param maxQueueWait longest wait of one attempt
 */
public record AdmissionLimits(
        int maxInFlight, int maxQueue, long maxTokensInFlight, long maxQueueBytes, Duration maxQueueWait) {
    private static final long DEFAULT_MAX_QUEUE_BYTES = 64L << 20;
    private static final Duration DEFAULT_MAX_QUEUE_WAIT = Duration.ofSeconds(30);

    public AdmissionLimits {
        Objects.requireNonNull(maxQueueWait, "maxQueueWait");
        if (maxInFlight < 1 || maxQueue < 0 || maxTokensInFlight < 1 || maxQueueBytes < 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns the limits of a row, with the usual bounds on queued bytes and waiting time. */
    public static AdmissionLimits of(TargetRow row) {
        return new AdmissionLimits(
                row.maxInFlight(),
                row.maxQueue(),
                row.maxTokensInFlight(),
                DEFAULT_MAX_QUEUE_BYTES,
                DEFAULT_MAX_QUEUE_WAIT);
    }
}
