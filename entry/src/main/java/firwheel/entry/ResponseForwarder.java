package firwheel.entry;

import firwheel.admission.RecordedResponse;
import firwheel.admission.ResponseHead;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Passes the pieces of an answer on to the caller: event streams piece by piece, everything else whole at the end. The
 * event that ends a stream is held back until the stream is known to be whole.
 */
final class ResponseForwarder {
    /** Largest answer that is not an event stream, in bytes. */
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

    /** Forgets what an earlier attempt sent and the caller has not got. */
    void startAttempt() {
        bufferedBody = Buffer.buffer();
        terminatingEvent = null;
        if (!responseWriter.isStarted()) {
            head = null;
        }
    }

    /** Takes the start of the answer; a repeated one is ignored. */
    void onHead(ResponseHead newHead) {
        if (head != null) {
            return;
        }
        head = newHead;
        if (isStreamed()) {
            responseWriter.startStream(newHead.status(), newHead.contentType());
        }
    }

    /** Takes the next piece; returns whether it was passed on to the caller. */
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

    /** Returns whether the answer is larger than what is kept in memory. */
    boolean isTooLarge() {
        return bufferedBody.length() > MAX_BUFFERED_BYTES;
    }

    /** Ends a whole answer. */
    void complete() {
        ResponseHead responseHead = head;
        if (responseHead == null) {
            throw new IllegalStateException("an answer without a head");
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

    /** Returns the whole answer for repeats of the request, or null where it was passed through. */
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
