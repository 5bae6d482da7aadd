package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Result of offering an attempt to {@link AdmissionController}. */
public sealed interface AdmissionDecision {
    /** The attempt was admitted and runs immediately. */
    record Admitted() implements AdmissionDecision {}

    /** The attempt was queued; {@link AdmissionListener} is notified when it starts or is refused. */
    record Queued() implements AdmissionDecision {}

    /** The attempt was received before and is dropped without a response; {@code state} is its current state. */
    record Duplicate(AttemptState state) implements AdmissionDecision {}

    /**
     * The attempt was refused and will not run in this process. If the outcome of {@code code} is "unknown", the
     * attempt may have run earlier.
     */
    record Refused(ResultCode code, Duration retryAfter) implements AdmissionDecision {}
}
