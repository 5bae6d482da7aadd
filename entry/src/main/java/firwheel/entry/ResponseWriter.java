package firwheel.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.Outcome;
import io.vertx.core.AsyncResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the response to one caller: as a single body, as an event stream, or as an error. A stream that fails after its
 * head was written ends with an error event and a closed connection, so that the caller cannot mistake it for complete.
 */
final class ResponseWriter {
    static final String OUTCOME_HEADER = "Firwheel-Outcome";

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Logger logger = LoggerFactory.getLogger(ResponseWriter.class);

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final String requestId;
    private final EntryMetrics metrics;
    private boolean streaming;
    private boolean ended;
    private boolean handedOver;
    private final CompletableFuture<Void> written = new CompletableFuture<>();

    ResponseWriter(HttpServerRequest request, String requestId, EntryMetrics metrics) {
        this.metrics = metrics;
        this.request = request;
        this.response = request.response();
        this.requestId = requestId;
        response.putHeader(CallerRequestReader.REQUEST_ID_HEADER, requestId);
    }

    /** Returns whether the response has ended or the caller has disconnected. */
    boolean isEnded() {
        return ended || response.closed();
    }

    /** Returns whether a stream has been started or the response has ended. */
    boolean isStarted() {
        return streaming || ended;
    }

    /** Returns a future that completes when the response has been written or the caller has disconnected. */
    CompletableFuture<Void> written() {
        return written;
    }

    /** Sets the handler that is called if the caller disconnects before the response has ended. */
    void onCallerDisconnected(Runnable handler) {
        response.closeHandler(ignored -> {
            written.complete(null);
            if (!ended) {
                ended = true;
                handler.run();
            }
        });
    }

    /** Writes a complete response. */
    void send(int status, String contentType, Buffer body) {
        if (isEnded()) {
            return;
        }
        ended = true;
        metrics.countResponse(Outcome.COMPLETE, "");
        response.setStatusCode(status)
                .putHeader(OUTCOME_HEADER, Outcome.COMPLETE.label())
                .putHeader("Content-Type", contentType)
                .end(body)
                .onComplete(this::onWritten);
        handedOver = true;
    }

    /** Starts a stream. Its outcome is sent in a trailer. */
    void startStream(int status, String contentType) {
        streaming = true;
        response.setStatusCode(status)
                .setChunked(true)
                .putHeader("Content-Type", contentType)
                .putHeader("Cache-Control", "no-store")
                .putHeader("Trailer", OUTCOME_HEADER);
    }

    /** Writes a chunk of the stream. */
    void writeChunk(Buffer data) {
        if (!isEnded()) {
            response.write(data);
        }
    }

    /** Returns whether the write queue is full because the caller reads too slowly. */
    boolean isFull() {
        return response.writeQueueFull();
    }

    /** Calls {@code handler} once when the write queue has room again. */
    void onWritable(Runnable handler) {
        response.drainHandler(ignored -> {
            response.drainHandler(null);
            handler.run();
        });
    }

    /** Ends a complete stream. */
    void endStream() {
        if (!isEnded()) {
            ended = true;
            metrics.countResponse(Outcome.COMPLETE, "");
            response.putTrailer(OUTCOME_HEADER, Outcome.COMPLETE.label()).end().onComplete(this::onWritten);
            handedOver = true;
        }
    }

    /**
     * Ends the response after a step of the request has failed, at whatever point: with {@code failure} if nothing has been
     * written, otherwise by closing the connection.
     */
    void endAfterFault(FirwheelException failure) {
        if (handedOver || response.closed()) {
            written.complete(null);
        } else if (response.headWritten()) {
            ended = true;
            closeConnection();
        } else {
            response.headers().clear();
            response.setChunked(false);
            streaming = false;
            ended = false;
            fail(failure);
        }
    }

    /** Ends the response with an error, whether or not a stream has been started. */
    void fail(FirwheelException failure) {
        if (isEnded()) {
            return;
        }
        ended = true;
        metrics.countResponse(failure.code().outcome(), failure.code().label());
        logFailure(failure);
        if (streaming) {
            abortStream(failure);
        } else {
            sendError(failure);
        }
    }

    /** Logs and counts that a step of the request has thrown. */
    void logFault(String step, Throwable fault) {
        metrics.countFailedStep();
        logger.atError()
                .addKeyValue("event", EventCode.STEP_FAILED.label())
                .addKeyValue("step", step)
                .addKeyValue("request", requestId)
                .setCause(fault)
                .log(EventCode.STEP_FAILED.summary());
    }

    private void sendError(FirwheelException failure) {
        Duration retryAfter = failure.retryAfter();
        if (!retryAfter.isZero()) {
            long seconds = (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.putHeader("Retry-After", Long.toString(seconds));
        }
        response.setStatusCode(failure.code().httpStatus())
                .putHeader(OUTCOME_HEADER, failure.code().outcome().label())
                .putHeader("Content-Type", "application/json")
                .end(errorBody(failure).toString())
                .onComplete(this::onWritten);
        handedOver = true;
    }

    private void abortStream(FirwheelException failure) {
        if (response.writeQueueFull()) {
            closeConnection();
            return;
        }
        response.write("event: error\ndata: " + errorBody(failure) + "\n\n").onComplete(ignored -> closeConnection());
    }

    /** Closes the connection, which is the only way to signal the error to a caller that does not read. */
    private void closeConnection() {
        request.connection().close();
        written.complete(null);
    }

    private void onWritten(AsyncResult<Void> ignored) {
        written.complete(null);
    }

    private ObjectNode errorBody(FirwheelException failure) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("error")
                .put("message", failure.messageWithRemedy())
                .put("type", failure.code().name().toLowerCase(Locale.ROOT))
                .put("code", failure.code().label())
                .put("outcome", failure.code().outcome().label())
                .put("retry_after_millis", failure.retryAfter().toMillis());
        return root;
    }

    private void logFailure(FirwheelException failure) {
        EventCode event =
                failure.code().outcome() == Outcome.NOT_RUN ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_FAILED;
        Events.log(logger, event, "request", requestId, "code", failure.code().label());
    }
}
