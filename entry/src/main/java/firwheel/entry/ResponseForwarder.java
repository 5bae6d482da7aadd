package firwheel.entry;

import firwheel.admission.RecordedResponse;
import firwheel.admission.ResponseHead;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Forwards a response to the caller: event streams chunk by chunk, all other responses at the end. The terminating event
 * of a stream is held back until the stream has been verified to be complete.
 */
final class ResponseForwarder {
    /** Maximum size of a response that is not streamed, in bytes. */
    static final int MAX_BUFFERED_BYTES = 32 << 20;

    private static final byte[] TERMINATING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ResponseWriter responseWriter;
    private final boolean streamRequested;
    private Buffer bufferedBody = Buffer.buffer();
    private @Nullable ResponseHead head;
    private @Nullable Buffer terminatingEvent;

    ResponseForwarder(ResponseWriter responseWriter, boolean streamRequested) {
        this.responseWriter = responseWriter;
        this.streamRequested = streamRequested;
    }

    /** Discards the output of an earlier attempt that has not been sent to the caller. */
    void startAttempt() {
        bufferedBody = Buffer.buffer();
        terminatingEvent = null;
        if (!responseWriter.isStarted()) {
            head = null;
        }
    }

    /** Handles the head of the response; ignored if a head has already been received. */
    void onHead(ResponseHead newHead) {
        if (head != null) {
            return;
        }
        head = newHead;
        if (isStreamed()) {
            responseWriter.startStream(newHead.status(), newHead.contentType());
        }
    }

    /** Handles the next chunk; returns whether it was sent to the caller. */
    boolean onChunk(byte[] data) {
        if (!isStreamed()) {
            bufferedBody.appendBytes(data);
            return false;
        }
        if (Arrays.equals(data, TERMINATING_EVENT)) {
            terminatingEvent = Buffer.buffer(data);
            return false;
        }
        responseWriter.writeChunk(Buffer.buffer(data));
        return true;
    }

    /** Returns whether the response exceeds the size that may be buffered. */
    boolean isTooLarge() {
        return bufferedBody.length() > MAX_BUFFERED_BYTES;
    }

    /** Sends the rest of a response that was received completely. */
    void complete() {
        ResponseHead responseHead = head;
        if (responseHead == null) {
            throw new IllegalStateException("the response completed without a head");
        }
        if (!isStreamed()) {
            responseWriter.send(responseHead.status(), responseHead.contentType(), bufferedBody);
            return;
        }
        if (terminatingEvent != null) {
            responseWriter.writeChunk(terminatingEvent);
        }
        responseWriter.endStream();
    }

    /** Returns the complete response to record for repeats of the request, or null if it was streamed. */
    @Nullable
    RecordedResponse recordedResponse() {
        ResponseHead responseHead = head;
        return responseHead == null || isStreamed()
                ? null
                : new RecordedResponse(responseHead.status(), responseHead.contentType(), bufferedBody.getBytes());
    }

    boolean hasHead() {
        return head != null;
    }

    private boolean isStreamed() {
        return streamRequested && head != null && head.contentType().startsWith("text/event-stream");
    }
}
