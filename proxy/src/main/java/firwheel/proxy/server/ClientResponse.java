package firwheel.proxy.server;

import firwheel.model.FaultBoundary;
import firwheel.proxy.memory.HeldBytes;
import io.netty.buffer.ByteBuf;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.internal.buffer.BufferInternal;
import java.time.Duration;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Writes the response to one client. Ignores further writes once the response has ended or was aborted. */
final class ClientResponse {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final ClientConnection connection;
    private final BooleanSupplier draining;
    private final Consumer<End> onEnd;
    private final FaultBoundary boundary;
    private final HeldBytes.Share unread;
    private boolean closeAfterResponse;
    private boolean started;
    private boolean ended;
    private boolean handedOver;

    /** How a response ended. */
    enum End {
        /** Its last byte was written to the socket. */
        WRITTEN,
        /** Its connection is closed; the client has an incomplete response or none. */
        CUT
    }

    /**
     * Creates a response; {@code onEnd} is called when it has ended.
     *
     * @param draining whether the connection is to be closed after a response whose head is written now
     */
    ClientResponse(
            HttpServerRequest request,
            ClientConnection connection,
            HeldBytes heldBytes,
            BooleanSupplier draining,
            FaultBoundary boundary,
            Consumer<End> onEnd) {
        unread = heldBytes.open(HeldBytes.Kind.UNREAD, () -> true, boundary.wrap("cut off", this::cutOff));
        this.boundary = boundary;
        this.request = request;
        this.connection = connection;
        this.response = request.response();
        this.draining = draining;
        this.onEnd = onEnd;
    }

    /** Returns whether the head was written, after which an error response is no longer possible. */
    boolean started() {
        return started;
    }

    /** Closes the connection after the response, whose head must not have been written. */
    void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Forwards a complete response. */
    void sendResponse(ResponseHead head, ByteBuf body) {
        if (ended) {
            return;
        }
        writeHead(head);
        finish(BufferInternal.buffer(body));
    }

    /** Forwards the head of a stream. */
    void startStream(ResponseHead head) {
        if (ended) {
            return;
        }
        writeHead(head);
        response.setChunked(true);
    }

    /** Forwards a chunk of a stream; returns whether the write queue is full because the client reads too slowly. */
    boolean sendChunk(Buffer bytes) {
        if (ended) {
            return false;
        }
        if (!unread.set(unread.bytes() + bytes.length())) {
            return false;
        }
        var unused = response.write(bytes)
                .onComplete(done ->
                        boundary.run("chunk written", () -> unread.set(Math.max(0, unread.bytes() - bytes.length()))));
        return response.writeQueueFull();
    }

    /** Runs {@code action} once the write queue has drained. */
    void onDrained(Runnable action) {
        response.drainHandler(ignored -> boundary.run("write queue drained", action));
    }

    /** Ends a stream normally. */
    void endStream() {
        if (!ended) {
            finish(Buffer.buffer());
        }
    }

    /** Sends an error response. */
    void sendError(ErrorResponse error) {
        if (ended) {
            return;
        }
        startHead(error.status());
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        if (!error.retryAfter().isZero()) {
            response.putHeader(HttpHeaders.RETRY_AFTER, seconds(error.retryAfter()));
        }
        finish(Buffer.buffer("{\"error\":{\"code\":\"" + error.code().label() + "\",\"message\":\""
                + error.code().summary() + "\"}}\n"));
    }

    /**
     * Ends the response after a step has failed, at whatever point: with an error response if none has begun, otherwise by
     * closing the connection.
     */
    void endAfterFault(ErrorResponse error) {
        if (handedOver) {
            return;
        }
        ended = false;
        if (!response.headWritten()) {
            response.headers().clear();
            closeAfterResponse = true;
            sendError(error);
        } else {
            abort();
        }
    }

    /** Closes the connection, so that the client does not mistake the response for a complete one. */
    void abort() {
        if (!ended) {
            ended = true;
            unread.close();
            connection.close();
            onEnd.accept(End.CUT);
        }
    }

    /**
     * Closes the connection at once, without waiting for the client to read what has been written, which is dropped.
     */
    private void cutOff() {
        ended = true;
        var unused = ((HttpServerConnection) request.connection())
                .channelHandlerContext()
                .channel()
                .close();
    }

    private void writeHead(ResponseHead head) {
        startHead(head.status());
        response.headers().addAll(head.headers());
    }

    private void startHead(int status) {
        started = true;
        response.setStatusCode(status);
        closeAfterResponse |= draining.getAsBoolean();
        if (closeAfterResponse) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
            connection.onLastResponse();
        }
    }

    private void finish(Buffer lastChunk) {
        ended = true;
        if (!unread.set(unread.bytes() + lastChunk.length())) {
            return;
        }
        Future<Void> written = lastChunk.length() == 0 ? response.end() : response.end(lastChunk);
        handedOver = true;
        var unused = written.onComplete(done -> boundary.run("response written", () -> onWritten(done.succeeded())));
    }

    private void onWritten(boolean succeeded) {
        try {
            if (closeAfterResponse) {
                connection.closeAfterLastResponse();
            }
            unread.close();
        } finally {
            onEnd.accept(succeeded ? End.WRITTEN : End.CUT);
        }
    }

    private static String seconds(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toMillis() / MILLIS_PER_SECOND);
    }
}
