package firwheel.admission;

/**
 * Answer that is kept for repeats of a request.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body whole body; never changed after construction
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, String contentType, byte[] body) {}
