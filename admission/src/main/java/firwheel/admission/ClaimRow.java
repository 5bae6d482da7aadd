package firwheel.admission;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Stored form of a claim.
 *
 * @param token random token of the claim
 * @param digest digest of the request
 * @param state last known state of the request
 * @param deadlineEpochMillis caller's deadline
 * @param answer recorded response, or null if there is none or it was too large
 */
record ClaimRow(String token, String digest, State state, long deadlineEpochMillis, @Nullable RecordedResponse answer) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** State of a claimed request. */
    enum State {
        OPEN,
        COMPLETED,
        UNRESOLVED
    }

    String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new FirwheelException(ResultCode.INTERNAL, "cannot serialise claim row", Duration.ZERO, e);
        }
    }

    static ClaimRow parse(String json) {
        try {
            return JSON.readValue(json, ClaimRow.class);
        } catch (JsonProcessingException e) {
            throw new FirwheelException(ResultCode.PLATFORM_BAD_ANSWER, "cannot parse claim row", Duration.ZERO, e);
        }
    }
}
