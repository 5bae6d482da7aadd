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
final class AnswerAssembly {
    /** Largest answer that is not an event stream, in bytes. */
    static final int MAX_WHOLE_BYTES = 32 << 20;

    private static final byte[] TERMINATING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final AnswerWriter answer;
    private final boolean streaming;
    private Buffer body = Buffer.buffer();
    private @Nullable ResponseHead head;
    private @Nullable Buffer terminatingEvent;

    AnswerAssembly(AnswerWriter answer, boolean streaming) {
        this.answer = answer;
        this.streaming = streaming;
    }

    /** Forgets what an earlier attempt sent and the caller has not got. */
    void beginAttempt() {
        body = Buffer.buffer();
        terminatingEvent = null;
        if (!answer.started()) {
            head = null;
        }
    }

    /** Takes the start of the answer; a repeated one is ignored. */
    void head(ResponseHead newHead) {
        if (head != null) {
            return;
        }
        head = newHead;
        if (passesThrough()) {
            answer.startStream(newHead.status(), newHead.contentType());
        }
    }

    /** Takes the next piece; returns whether it was passed on to the caller. */
    boolean piece(byte[] data) {
        if (!passesThrough()) {
            body.appendBytes(data);
            return false;
        }
        if (Arrays.equals(data, TERMINATING_EVENT)) {
            terminatingEvent = Buffer.buffer(data);
            return false;
        }
        answer.piece(Buffer.buffer(data));
        return true;
    }

    /** Returns whether the answer is larger than what is kept in memory. */
    boolean tooLarge() {
        return body.length() > MAX_WHOLE_BYTES;
    }

    /** Ends a whole answer. */
    void complete() {
        ResponseHead start = head;
        if (start == null) {
            throw new IllegalStateException("an answer without a head");
        }
        if (!passesThrough()) {
            answer.whole(start.status(), start.contentType(), body);
            return;
        }
        if (terminatingEvent != null) {
            answer.piece(terminatingEvent);
        }
        answer.endStream();
    }

    /** Returns the whole answer for repeats of the request, or null where it was passed through. */
    @Nullable
    RecordedResponse recorded() {
        ResponseHead start = head;
        return start == null || passesThrough()
                ? null
                : new RecordedResponse(start.status(), start.contentType(), body.getBytes());
    }

    boolean hasHead() {
        return head != null;
    }

    private boolean passesThrough() {
        return streaming && head != null && head.contentType().startsWith("text/event-stream");
    }
}
