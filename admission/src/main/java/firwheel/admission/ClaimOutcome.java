package firwheel.admission;

import firwheel.model.ResultCode;
import java.time.Duration;

/** Answer to a request for a claim. */
public sealed interface ClaimOutcome {
    /** The claim is held; the request may be dispatched by its holder only. */
    record Claimed(Claim claim) implements ClaimOutcome {}

    /** An earlier request with this key completed with this answer. */
    record Recorded(RecordedResponse response) implements ClaimOutcome {}

    /** The request must not be dispatched. */
    record Refused(ResultCode code, Duration retryAfter) implements ClaimOutcome {}
}
