package firwheel.proxy.server;

import org.jspecify.annotations.Nullable;

/**
 * What a caller's request says of itself beside method, path and body.
 *
 * @param attemptId the caller's id of this attempt, or null where it gave none
 * @param deadlineMillis time that the caller will wait, or 0 where it did not say
 * @param apiKey key that the caller presents, or null
 * @param promptTokens tokens of the prompt; 0 for plain requests
 * @param maxOutputTokens most tokens of the answer; 0 for plain requests
 * @param lastEventId last event that the caller already has, or null
 */
public record RequestMetadata(
        @Nullable String attemptId,
        long deadlineMillis,
        @Nullable String apiKey,
        int promptTokens,
        int maxOutputTokens,
        @Nullable String lastEventId) {}
