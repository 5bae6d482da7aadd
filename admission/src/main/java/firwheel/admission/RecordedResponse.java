package firwheel.admission;

/**
 * Response that is recorded for repeats of a request with the same idempotency key.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body whole body; must not be modified after construction
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, String contentType, byte[] body) {}
