package firwheel.admission;

import java.util.Objects;

/**
 * Start of a target's answer.
 *
 * @param status HTTP status
 * @param contentType content type
 */
public record StreamHead(int status, String contentType) {
    public StreamHead {
        Objects.requireNonNull(contentType, "contentType");
    }
}
