package firwheel.agent;

import firwheel.admission.ResponseHead;
import firwheel.http.StrictHttpClient;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FaultBoundary;
import firwheel.model.ResponseHeadCheck;
import firwheel.model.ResultCode;
import firwheel.wire.AttemptMessage;
import io.netty.handler.codec.DecoderException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import io.vertx.core.streams.ReadStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one admitted attempt on the target and writes the target's response to the attempt's stream. An event stream is
 * split into one chunk per event; if a model's event stream ends without its terminating event, the attempt fails
 * instead of completing. All methods are called on the agent's event loop.
 */
final class AttemptExecution {
    private static final Logger logger = LoggerFactory.getLogger(AttemptExecution.class);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final byte[] TERMINATING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final String EVENT_DELIMITER = "\n\n";
    private static final ResponseHeadCheck HEAD_CHECK = new ResponseHeadCheck(Set.of());
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final AttemptMessage.Dispatch dispatch;
    private final boolean modelTarget;
    private final AttemptStream stream;
    private final Consumer<@Nullable ResultCode> onCompleted;
    private final FaultBoundary boundary = new FaultBoundary(this::onFault);
    private @Nullable HttpClientRequest targetRequest;
    private @Nullable ReadStream<Buffer> responseBody;
    private boolean lastEventIsTerminator;
    private boolean eventStream;
    private boolean readingPaused;
    private boolean outputReceived;
    private boolean sent;
    private boolean completed;
    private long deadlineTimer;

    AttemptExecution(
            Vertx vertx,
            AttemptMessage.Dispatch dispatch,
            boolean modelTarget,
            AttemptStream stream,
            Consumer<@Nullable ResultCode> onCompleted) {
        this.vertx = vertx;
        this.dispatch = dispatch;
        this.modelTarget = modelTarget;
        this.stream = stream;
        this.onCompleted = onCompleted;
    }

    /** Creates a client of a target. */
    static HttpClient newClient(Vertx vertx, int maxConnections) {
        return StrictHttpClient.create(
                vertx,
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(maxConnections));
    }

    /** Sends the request to the target; the attempt fails if it has not ended within {@code remainingMillis}. */
    void start(HttpClient client, String targetIp, int targetPort, long remainingMillis) {
        boundary.run("start", () -> connect(client, targetIp, targetPort, remainingMillis));
    }

    private void connect(HttpClient client, String targetIp, int targetPort, long remainingMillis) {
        deadlineTimer = vertx.setTimer(
                Math.max(1, remainingMillis),
                ignored -> boundary.run(
                        "deadline",
                        () -> fail(
                                ResultCode.DEADLINE_PASSED,
                                "the deadline passed before the target completed its response")));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.valueOf(dispatch.method()))
                .setHost(targetIp)
                .setPort(targetPort)
                .setURI(dispatch.path());
        client.request(options)
                .onSuccess(request -> boundary.run("send", () -> send(request)))
                .onFailure(error -> boundary.run(
                        "connect failed",
                        () -> refuse(ResultCode.TARGET_UNREACHABLE, String.valueOf(error.getMessage()))));
    }

    /** Requests the next chunk from the target if reading is paused and the stream buffer has room again. */
    void resumeReading() {
        boundary.run("resume reading", this::fetchIfRoom);
    }

    private void fetchIfRoom() {
        if (readingPaused && responseBody != null && !stream.isFull()) {
            readingPaused = false;
            responseBody.fetch(1);
        }
    }

    /** Returns whether an event stream has produced output and is now waiting for more from the target. */
    boolean isAwaitingOutput() {
        return eventStream && !completed && outputReceived && !readingPaused;
    }

    /**
     * Cancels the attempt after its caller disconnected or its entry did not resume it in time. Resetting the HTTP
     * request informs the target of the cancellation.
     */
    void cancel() {
        complete(ResultCode.STREAM_BROKEN);
        resetTarget();
    }

    /** Ends the attempt with a failure that is reported to the entry, and resets the request to the target. */
    void fail(ResultCode code, String detail) {
        if (completed) {
            return;
        }
        stream.fail(code, detail);
        complete(code);
        resetTarget();
    }

    private void send(HttpClientRequest request) {
        if (completed) {
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
        sent = true;
        request.send(Buffer.buffer(dispatch.body()))
                .onSuccess(response -> boundary.run("head", () -> onResponse(response)))
                .onFailure(error -> boundary.run("send failed", () -> onNoResponse(error)));
    }

    private void onNoResponse(Throwable error) {
        if (error instanceof DecoderException && !completed) {
            Events.log(
                    logger,
                    EventCode.MALFORMED_RESPONSE,
                    "attempt",
                    dispatch.attempt(),
                    "violation",
                    String.valueOf(error.getMessage()));
        }
        fail(ResultCode.OUTCOME_UNKNOWN, "connection to the target lost before it responded: " + error.getMessage());
    }

    private void onResponse(HttpClientResponse response) {
        if (completed) {
            return;
        }
        String violation = HEAD_CHECK.violation(response.statusMessage(), response.headers());
        if (violation != null) {
            fail(ResultCode.OUTCOME_UNKNOWN, "head is not that of one response: " + violation);
            return;
        }
        int status = response.statusCode();
        if (modelTarget && (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE)) {
            refuse(ResultCode.TARGET_REFUSED, "the engine refused the request with status " + status);
            return;
        }
        if (modelTarget && status >= INTERNAL_SERVER_ERROR) {
            fail(ResultCode.ENGINE_ERROR, "the engine failed with status " + status);
            return;
        }
        String contentType = response.getHeader("Content-Type");
        String responseType = contentType == null ? "application/octet-stream" : contentType;
        eventStream = responseType.startsWith(EVENT_STREAM);
        stream.setHead(new ResponseHead(status, responseType));
        ReadStream<Buffer> body = eventStream ? RecordParser.newDelimited(EVENT_DELIMITER, response) : response;
        body.pause();
        responseBody = body;
        body.exceptionHandler(error -> boundary.run(
                "response lost",
                () -> fail(
                        ResultCode.STREAM_BROKEN,
                        "connection to the target lost during its response: " + error.getMessage())));
        body.endHandler(ignored -> boundary.run("end", this::onEnd));
        body.handler(chunk -> boundary.run("chunk", () -> onChunk(chunk)));
        body.fetch(1);
    }

    private void onChunk(Buffer chunk) {
        if (completed) {
            return;
        }
        byte[] data = eventStream ? chunk.appendString(EVENT_DELIMITER).getBytes() : chunk.getBytes();
        lastEventIsTerminator = Arrays.equals(data, TERMINATING_EVENT);
        outputReceived = true;
        stream.append(data);
        readingPaused = true;
        resumeReading();
    }

    private void onEnd() {
        if (completed) {
            return;
        }
        if (eventStream && modelTarget && !lastEventIsTerminator) {
            fail(ResultCode.STREAM_BROKEN, "the event stream ended without its terminating event");
            return;
        }
        stream.finish();
        complete(null);
    }

    private void refuse(ResultCode code, String detail) {
        if (completed) {
            return;
        }
        stream.refuse(code, detail);
        complete(code);
        resetTarget();
    }

    private void complete(@Nullable ResultCode failure) {
        if (!completed) {
            completed = true;
            vertx.cancelTimer(deadlineTimer);
            onCompleted.accept(failure);
        }
    }

    /** Ends the attempt after one of its steps has thrown; each way of ending it is tried even if another one throws. */
    private void onFault(String step, Throwable fault) {
        logFault(step, fault);
        FaultBoundary ending = new FaultBoundary((part, further) -> logFault(part + " after a fault", further));
        ResultCode code = sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.FAULT_NOT_RUN;
        if (!completed) {
            ending.run("report", () -> {
                if (sent) {
                    stream.fail(code, code.summary());
                } else {
                    stream.refuse(code, code.summary());
                }
            });
        }
        ending.run("complete", () -> complete(code));
        ending.run("reset", this::resetTarget);
    }

    private void logFault(String step, Throwable fault) {
        logger.atError()
                .addKeyValue("event", EventCode.STEP_FAILED.label())
                .addKeyValue("step", step)
                .addKeyValue("attempt", dispatch.attempt())
                .setCause(fault)
                .log(EventCode.STEP_FAILED.summary());
    }

    private void resetTarget() {
        if (targetRequest != null) {
            targetRequest.reset();
        }
    }
}
