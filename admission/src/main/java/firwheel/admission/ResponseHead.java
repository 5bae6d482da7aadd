package firwheel.admission;

import java.util.Objects;

/**
 * Head of a target's response.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 */
public record ResponseHead(int status, String contentType) {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    public ResponseHead {
        Objects.requireNonNull(contentType, "contentType");
    }

    /** Returns whether a status is one of a final response: from 200 to 599, as defined by RFC 9110. */
    public static boolean isFinal(int status) {
        return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
    }
}
