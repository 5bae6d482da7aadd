package firwheel.proxy.server;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Metadata from the headers of a client request.
 *
 * @param attemptId client-supplied identifier of this attempt, or null if absent
 * @param deadlineMillis time for which the client will wait, or 0 if not stated
 * @param apiKey API key that the client presents, or null
 * @param promptTokens number of prompt tokens; 0 for plain requests
 * @param maxOutputTokens maximum number of output tokens; 0 for plain requests
 * @param lastEventId identifier of the last event that the client has received, or null
 * @param promptParts identifiers of the parts of the prompt in order, the request's own part last; empty if not stated
 */
public record RequestMetadata(
        @Nullable String attemptId,
        long deadlineMillis,
        @Nullable String apiKey,
        int promptTokens,
        int maxOutputTokens,
        @Nullable String lastEventId,
        List<String> promptParts) {
    public RequestMetadata {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the time for which the client will wait; one that states none is assumed to wait for the timeout. */
    long deadlineOr(long timeoutMillis) {
        return deadlineMillis > 0 ? deadlineMillis : timeoutMillis;
    }
}
