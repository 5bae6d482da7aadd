package firwheel.proxy.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;

/** Writes the answer to one caller. After the end or an abort it writes nothing more. */
final class ClientResponse {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final boolean closeAfterResponse;
    private final Runnable onWritten;
    private boolean started;
    private boolean ended;

    /** Creates an answer; {@code onWritten} runs once all of it has gone to the socket, or it was broken off. */
    ClientResponse(HttpServerRequest request, boolean closeAfterResponse, Runnable onWritten) {
        this.request = request;
        this.response = request.response();
        this.closeAfterResponse = closeAfterResponse;
        this.onWritten = onWritten;
    }

    /** Returns whether the head was written, after which no refusal is possible. */
    boolean started() {
        return started;
    }

    /** Passes on a whole answer. */
    void sendResponse(ResponseHead head, Buffer body) {
        if (ended) {
            return;
        }
        writeHead(head);
        finish(body);
    }

    /** Passes on the head of a stream. */
    void startStream(ResponseHead head) {
        if (ended) {
            return;
        }
        writeHead(head);
        response.setChunked(true);
    }

    /** Passes on a piece of a stream; returns whether the caller reads slower than it arrives. */
    boolean sendChunk(Buffer bytes) {
        if (ended) {
            return false;
        }
        var unused = response.write(bytes);
        return response.writeQueueFull();
    }

    /** Runs {@code action} once the caller has read what is queued. */
    void onDrained(Runnable action) {
        response.drainHandler(ignored -> action.run());
    }

    /** Ends a stream in order. */
    void endStream() {
        if (!ended) {
            finish(Buffer.buffer());
        }
    }

    /** Answers with a refusal. */
    void sendError(ErrorResponse error) {
        if (ended) {
            return;
        }
        response.setStatusCode(error.status());
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        if (!error.retryAfter().isZero()) {
            response.putHeader(HttpHeaders.RETRY_AFTER, seconds(error.retryAfter()));
        }
        started = true;
        finish(Buffer.buffer("{\"error\":{\"code\":\"" + error.code().label() + "\",\"message\":\""
                + error.code().summary() + "\"}}\n"));
    }

    /** Breaks the connection off, so that the answer cannot look complete. */
    void abort() {
        if (!ended) {
            ended = true;
            var unused = request.connection().close();
            onWritten.run();
        }
    }

    private void writeHead(ResponseHead head) {
        started = true;
        response.setStatusCode(head.status());
        response.headers().addAll(head.headers());
    }

    private void finish(Buffer lastChunk) {
        ended = true;
        if (closeAfterResponse) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        var unused = (lastChunk.length() == 0 ? response.end() : response.end(lastChunk)).onComplete(done -> {
            if (closeAfterResponse) {
                var unusedClose = request.connection().close();
            }
            onWritten.run();
        });
    }

    private static String seconds(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toMillis() / MILLIS_PER_SECOND);
    }
}
