package firwheel.entry;

import firwheel.model.Priority;
import firwheel.model.TargetKind;
import java.time.Duration;

/**
 * A caller's request after it was read and checked.
 *
 * @param requestId id that the caller gave or that was drawn here
 * @param organisation organisation of the caller
 * @param priority priority
 * @param deadline time that the caller allows in all
 * @param idempotencyKey key that the caller gave, or empty
 * @param kind model or plain service
 * @param servedName model or service name
 * @param safeMethod whether the HTTP method is safe to repeat by itself
 * @param method HTTP method towards the target
 * @param targetPath HTTP path towards the target
 * @param contentType content type of the body, or empty
 * @param body body
 * @param streaming whether the caller asked for an event stream
 * @param estimatedTokens estimated prompt and output tokens
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerRequest(
        String requestId,
        String organisation,
        Priority priority,
        Duration deadline,
        String idempotencyKey,
        TargetKind kind,
        String servedName,
        boolean safeMethod,
        String method,
        String targetPath,
        String contentType,
        byte[] body,
        boolean streaming,
        int estimatedTokens) {}
