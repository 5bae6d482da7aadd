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
 * Writes one answer to a caller: whole, as an event stream, or as an error. A stream that breaks after its head ends
 * with an error event and a closed connection, never with a clean end.
 */
final class AnswerWriter {
    static final String OUTCOME = "Firwheel-Outcome";

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Logger logger = LoggerFactory.getLogger(AnswerWriter.class);

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final String requestId;
    private final EntryMetrics metrics;
    private boolean streaming;
    private boolean over;
    private final CompletableFuture<Void> written = new CompletableFuture<>();

    AnswerWriter(HttpServerRequest request, String requestId, EntryMetrics metrics) {
        this.metrics = metrics;
        this.request = request;
        this.response = request.response();
        this.requestId = requestId;
        response.putHeader(CallerRequestReader.REQUEST_ID, requestId);
    }

    /** Returns whether the answer has ended or the caller has left. */
    boolean isOver() {
        return over || response.closed();
    }

    /** Returns whether anything has reached the caller. */
    boolean started() {
        return streaming || over;
    }

    /** Returns a future that completes when the answer has been handed to the network or the caller has left. */
    CompletableFuture<Void> written() {
        return written;
    }

    /** Sets what runs when the caller leaves before the answer has ended. */
    void onDeparture(Runnable handler) {
        response.closeHandler(ignored -> {
            written.complete(null);
            if (!over) {
                over = true;
                handler.run();
            }
        });
    }

    /** Writes a whole answer. */
    void whole(int status, String contentType, Buffer body) {
        if (isOver()) {
            return;
        }
        over = true;
        metrics.countAnswer(Outcome.COMPLETE, "");
        response.setStatusCode(status)
                .putHeader(OUTCOME, Outcome.COMPLETE.label())
                .putHeader("Content-Type", contentType)
                .end(body)
                .onComplete(this::onWritten);
    }

    /** Starts a stream. Its outcome follows in a trailer. */
    void startStream(int status, String contentType) {
        streaming = true;
        response.setStatusCode(status)
                .setChunked(true)
                .putHeader("Content-Type", contentType)
                .putHeader("Cache-Control", "no-store")
                .putHeader("Trailer", OUTCOME);
    }

    /** Writes one piece of a stream. */
    void piece(Buffer data) {
        if (!isOver()) {
            response.write(data);
        }
    }

    /** Returns whether the caller reads too slowly for more to be written now. */
    boolean isFull() {
        return response.writeQueueFull();
    }

    /** Runs {@code handler} once when more can be written. */
    void onDrain(Runnable handler) {
        response.drainHandler(ignored -> {
            response.drainHandler(null);
            handler.run();
        });
    }

    /** Ends a whole stream. */
    void endStream() {
        if (!isOver()) {
            over = true;
            metrics.countAnswer(Outcome.COMPLETE, "");
            response.putTrailer(OUTCOME, Outcome.COMPLETE.label()).end().onComplete(this::onWritten);
        }
    }

    /** Ends the answer with an error, whatever has been written so far. */
    void error(FirwheelException failure) {
        if (isOver()) {
            return;
        }
        over = true;
        metrics.countAnswer(failure.code().outcome(), failure.code().label());
        logFailure(failure);
        if (streaming) {
            breakStream(failure);
        } else {
            refuse(failure);
        }
    }

    private void refuse(FirwheelException failure) {
        Duration retryAfter = failure.retryAfter();
        if (!retryAfter.isZero()) {
            long seconds = (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.putHeader("Retry-After", Long.toString(seconds));
        }
        response.setStatusCode(failure.code().httpStatus())
                .putHeader(OUTCOME, failure.code().outcome().label())
                .putHeader("Content-Type", "application/json")
                .end(errorBody(failure).toString())
                .onComplete(this::onWritten);
    }

    private void breakStream(FirwheelException failure) {
        if (response.writeQueueFull()) {
            close();
            return;
        }
        response.write("event: error\ndata: " + errorBody(failure) + "\n\n").onComplete(ignored -> close());
    }

    /** Aborts the connection. A caller that does not read would never see the error event. */
    private void close() {
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
