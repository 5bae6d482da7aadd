package firwheel.proxy.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;

/** Writes the answer to one caller. After the end or an abort it writes nothing more. */
final class CallerAnswer {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final boolean closeAfter;
    private final Runnable onWritten;
    private boolean started;
    private boolean ended;

    /** Creates an answer; {@code onWritten} runs once all of it has gone to the socket, or it was broken off. */
    CallerAnswer(HttpServerRequest request, boolean closeAfter, Runnable onWritten) {
        this.request = request;
        this.response = request.response();
        this.closeAfter = closeAfter;
        this.onWritten = onWritten;
    }

    /** Returns whether the head was written, after which no refusal is possible. */
    boolean started() {
        return started;
    }

    /** Passes on a whole answer. */
    void sendWhole(ResponseHead head, Buffer body) {
        if (ended) {
            return;
        }
        begin(head);
        finish(body);
    }

    /** Passes on the head of a stream. */
    void startStream(ResponseHead head) {
        if (ended) {
            return;
        }
        begin(head);
        response.setChunked(true);
    }

    /** Passes on a piece of a stream; returns whether the caller reads slower than it arrives. */
    boolean sendPiece(Buffer bytes) {
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
    void refuse(Refusal refusal) {
        if (ended) {
            return;
        }
        response.setStatusCode(refusal.status());
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        if (!refusal.retryAfter().isZero()) {
            response.putHeader(HttpHeaders.RETRY_AFTER, seconds(refusal.retryAfter()));
        }
        started = true;
        finish(Buffer.buffer("{\"error\":{\"code\":\"" + refusal.code().label() + "\",\"message\":\""
                + refusal.code().summary() + "\"}}\n"));
    }

    /** Breaks the connection off, so that the answer cannot look complete. */
    void abort() {
        if (!ended) {
            ended = true;
            var unused = request.connection().close();
            onWritten.run();
        }
    }

    private void begin(ResponseHead head) {
        started = true;
        response.setStatusCode(head.status());
        response.headers().addAll(head.headers());
    }

    private void finish(Buffer last) {
        ended = true;
        if (closeAfter) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        var unused = (last.length() == 0 ? response.end() : response.end(last)).onComplete(done -> {
            if (closeAfter) {
                var unusedClose = request.connection().close();
            }
            onWritten.run();
        });
    }

    private static String seconds(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toMillis() / MILLIS_PER_SECOND);
    }
}
