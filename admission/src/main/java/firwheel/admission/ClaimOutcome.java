package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Result of {@link ClaimService#claim}. */
public sealed interface ClaimOutcome {
    /** The claim was acquired; only its holder may dispatch the request. */
    record Claimed(Claim claim) implements ClaimOutcome {}

    /** An earlier request with the same key completed with this response. */
    record Recorded(RecordedResponse response) implements ClaimOutcome {}

    /** The request must not be dispatched. */
    record Refused(ResultCode code, Duration retryAfter) implements ClaimOutcome {}
}
