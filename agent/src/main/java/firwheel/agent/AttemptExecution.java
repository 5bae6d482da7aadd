package firwheel.agent;

import firwheel.admission.ResponseHead;
import firwheel.model.ResultCode;
import firwheel.wire.AttemptMessage;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import io.vertx.core.streams.ReadStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Runs one admitted attempt on the target and turns the target's answer into messages. Event streams are cut at event
 * borders; a stream that ends without its terminating event is reported as broken, never as whole. All methods are
 * called on the agent's event loop.
 */
final class AttemptExecution {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final byte[] TERMINATING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final String EVENT_DELIMITER = "\n\n";
    private static final int SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final AttemptMessage.Dispatch dispatch;
    private final boolean model;
    private final AttemptStream stream;
    private final Consumer<@Nullable ResultCode> onOver;
    private @Nullable HttpClientRequest targetRequest;
    private @Nullable ReadStream<Buffer> source;
    private boolean lastEventTerminates;
    private boolean eventStream;
    private boolean waitingForRoom;
    private boolean begun;
    private boolean over;
    private long deadlineTimer;

    AttemptExecution(
            Vertx vertx,
            AttemptMessage.Dispatch dispatch,
            boolean model,
            AttemptStream stream,
            Consumer<@Nullable ResultCode> onOver) {
        this.vertx = vertx;
        this.dispatch = dispatch;
        this.model = model;
        this.stream = stream;
        this.onOver = onOver;
    }

    /** Sends the request to the target. */
    void start(HttpClient client, String targetIp, int targetPort, long remainingMillis) {
        deadlineTimer = vertx.setTimer(
                Math.max(1, remainingMillis),
                ignored -> fail(ResultCode.DEADLINE_PASSED, "deadline passed at the agent"));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.valueOf(dispatch.method()))
                .setHost(targetIp)
                .setPort(targetPort)
                .setURI(dispatch.path());
        client.request(options)
                .onSuccess(this::send)
                .onFailure(error -> refuse(ResultCode.TARGET_UNREACHABLE, String.valueOf(error.getMessage())));
    }

    /** Reads on from the target where reading had stopped for lack of room. */
    void readOn() {
        if (waitingForRoom && source != null && !stream.full()) {
            waitingForRoom = false;
            source.fetch(1);
        }
    }

    /** Returns whether a stream has begun, may send more, and waits for the target. */
    boolean expectsOutput() {
        return eventStream && !over && begun && !waitingForRoom;
    }

    /** Gives the attempt up because its caller has left; the target is told by a reset stream. */
    void cancel() {
        end(ResultCode.STREAM_BROKEN);
        resetTarget();
    }

    /** Ends the attempt with an explicit failure. */
    void fail(ResultCode code, String detail) {
        if (over) {
            return;
        }
        stream.fail(code, detail);
        end(code);
        resetTarget();
    }

    private void send(HttpClientRequest request) {
        if (over) {
            request.reset();
            return;
        }
        targetRequest = request;
        if (!dispatch.contentType().isEmpty()) {
            request.putHeader("Content-Type", dispatch.contentType());
        }
        if (!dispatch.idempotencyKey().isEmpty()) {
            request.putHeader("Idempotency-Key", dispatch.idempotencyKey());
        }
        request.send(Buffer.buffer(dispatch.body()))
                .onSuccess(this::onResponse)
                .onFailure(error -> fail(ResultCode.OUTCOME_UNKNOWN, "target lost: " + error.getMessage()));
    }

    private void onResponse(HttpClientResponse response) {
        if (over) {
            return;
        }
        int status = response.statusCode();
        if (model && (status == TOO_MANY_REQUESTS || status == UNAVAILABLE)) {
            refuse(ResultCode.TARGET_REFUSED, "engine answered " + status);
            return;
        }
        if (model && status >= SERVER_ERROR) {
            fail(ResultCode.ENGINE_ERROR, "engine answered " + status);
            return;
        }
        String contentType = response.getHeader("Content-Type");
        String type = contentType == null ? "application/octet-stream" : contentType;
        eventStream = type.startsWith(EVENT_STREAM);
        stream.head(new ResponseHead(status, type));
        ReadStream<Buffer> pieces = eventStream ? RecordParser.newDelimited(EVENT_DELIMITER, response) : response;
        pieces.pause();
        source = pieces;
        pieces.exceptionHandler(error -> fail(ResultCode.STREAM_BROKEN, "target broke off: " + error.getMessage()));
        pieces.endHandler(ignored -> onEnd());
        pieces.handler(this::onPiece);
        pieces.fetch(1);
    }

    private void onPiece(Buffer piece) {
        if (over) {
            return;
        }
        byte[] data = eventStream ? piece.appendString(EVENT_DELIMITER).getBytes() : piece.getBytes();
        lastEventTerminates = Arrays.equals(data, TERMINATING_EVENT);
        begun = true;
        stream.append(data);
        waitingForRoom = true;
        readOn();
    }

    private void onEnd() {
        if (over) {
            return;
        }
        if (eventStream && model && !lastEventTerminates) {
            fail(ResultCode.STREAM_BROKEN, "event stream ended without its last event");
            return;
        }
        stream.finish();
        end(null);
    }

    private void refuse(ResultCode code, String detail) {
        if (over) {
            return;
        }
        stream.refuse(code, detail);
        end(code);
        resetTarget();
    }

    private void end(@Nullable ResultCode failure) {
        if (!over) {
            over = true;
            vertx.cancelTimer(deadlineTimer);
            onOver.accept(failure);
        }
    }

    private void resetTarget() {
        if (targetRequest != null) {
            targetRequest.reset();
        }
    }
}
