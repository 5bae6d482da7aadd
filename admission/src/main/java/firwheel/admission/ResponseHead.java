package firwheel.admission;

import java.util.Objects;

/**
 * Head of a target's response.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 */
public record ResponseHead(int status, String contentType) {
    public ResponseHead {
        Objects.requireNonNull(contentType, "contentType");
    }
}
