package firwheel.proxy.server;

import firwheel.model.ResultCode;
import java.time.Duration;

/**
 * An answer of this entry's own in place of a target's.
 *
 * @param code what happened
 * @param status HTTP status
 * @param detail what and which, for the caller and the log
 * @param retryAfter when to come back; zero where the answer does not say
 */
public record ErrorResponse(ResultCode code, int status, String detail, Duration retryAfter) {
    /** Returns a refusal with the status of its code. */
    public static ErrorResponse of(ResultCode code, String detail, Duration retryAfter) {
        return new ErrorResponse(code, code.httpStatus(), detail, retryAfter);
    }
}
