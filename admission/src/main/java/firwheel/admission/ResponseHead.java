package firwheel.admission;

import java.util.Objects;

/**
 * Start of a target's answer.
 *
 * @param status HTTP status
 * @param contentType content type
 */
public record ResponseHead(int status, String contentType) {
    public ResponseHead {
        Objects.requireNonNull(contentType, "contentType");
    }
}
