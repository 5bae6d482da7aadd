package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Immediate answer of the gate to an offered attempt. */
public sealed interface AdmissionDecision {
    /** The attempt runs now. */
    record Admitted() implements AdmissionDecision {}

    /** The attempt waits; the gate's listener hears how it goes on. */
    record Queued() implements AdmissionDecision {}

    /** The attempt is known already and is dropped without an answer; {@code state} is its present state. */
    record Duplicate(AttemptState state) implements AdmissionDecision {}

    /** The attempt will not run in this process, or, where the code's outcome is unknown, may have run before. */
    record Refused(ResultCode code, Duration retryAfter) implements AdmissionDecision {}
}
