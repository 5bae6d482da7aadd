package firwheel.entry;

import firwheel.model.Priority;
import firwheel.model.TargetKind;
import java.time.Duration;

/**
 * A validated request of a caller.
 *
 * @param requestId id given by the caller, or a generated one
 * @param organisation organisation that the caller belongs to
 * @param priority admission priority
 * @param deadline total time allowed by the caller
 * @param idempotencyKey idempotency key given by the caller, or empty
 * @param kind model or plain service
 * @param servedName name of the model or service
 * @param safeMethod whether the HTTP method is safe, so that the request may be repeated
 * @param method HTTP method of the request to the target
 * @param targetPath path and query of the request to the target
 * @param contentType content type of the body, or empty
 * @param body request body
 * @param streaming whether the caller requested an event stream
 * @param estimatedTokens estimated number of prompt and output tokens
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
