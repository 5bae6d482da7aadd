package firwheel.proxy.server;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * One request on one connection to a target. The listener hears of the head, then of bytes, and then once of the end or
 * of a failure; after {@link #cancel} it hears nothing.
 */
final class TargetExchange {
    /** Receives the answer. */
    interface Listener {
        void onHead(ResponseHead head);

        void onBytes(Buffer bytes);

        void onEnd();

        void onBroken(String reason);
    }

    private final TargetConnections connections;
    private final TargetConnections.Lent lent;
    private final ProxyProtocol protocol;
    private final @Nullable String attemptId;
    private final Listener listener;
    private @Nullable ResponseHead head;
    private @Nullable HttpClientResponse response;
    private boolean requestWritten;
    private boolean done;

    TargetExchange(
            TargetConnections connections,
            TargetConnections.Lent lent,
            ProxyProtocol protocol,
            @Nullable String attemptId,
            Listener listener) {
        this.connections = connections;
        this.lent = lent;
        this.protocol = protocol;
        this.attemptId = attemptId;
        this.listener = listener;
    }

    /** Writes the request; it may run from now on. */
    void send(HttpMethod method, String uri, MultiMap headers, Buffer body) {
        lent.connection().closeHandler(ignored -> broken("connection closed"));
        RequestOptions options = new RequestOptions().setMethod(method).setURI(uri);
        var unused = lent.connection().request(options).onComplete(result -> {
            if (done) {
                return;
            }
            if (result.failed()) {
                broken("connection lost: " + result.cause().getMessage());
                return;
            }
            write(result.result(), headers, body);
        });
    }

    /** Stops the exchange and closes its connection, which tells the target to stop. */
    void cancel() {
        done = true;
        TargetConnections.close(lent.connection());
    }

    void pause() {
        if (response != null) {
            response.pause();
        }
    }

    void resume() {
        if (response != null && !done) {
            response.resume();
        }
    }

    private void write(HttpClientRequest request, MultiMap headers, Buffer body) {
        request.headers().setAll(headers);
        request.exceptionHandler(error -> broken(String.valueOf(error.getMessage())));
        var unused = request.response().onComplete(result -> {
            if (done) {
                return;
            }
            if (result.failed()) {
                broken(String.valueOf(result.cause().getMessage()));
            } else {
                onResponse(result.result());
            }
        });
        boolean bodiless = body.length() == 0 && !headers.contains("Content-Length");
        var unusedEnd = (bodiless ? request.end() : request.end(body)).onSuccess(ignored -> requestWritten = true);
    }

    private void onResponse(HttpClientResponse received) {
        ResponseHead answer = protocol.readResponseHead(received);
        if (answer.attemptId() != null && !Objects.equals(answer.attemptId(), attemptId)) {
            broken("answer to attempt " + answer.attemptId() + " in place of " + attemptId);
            return;
        }
        head = answer;
        response = received;
        received.exceptionHandler(error -> broken(String.valueOf(error.getMessage())));
        received.handler(bytes -> {
            if (!done) {
                listener.onBytes(bytes);
            }
        });
        received.endHandler(ignored -> ended(answer));
        listener.onHead(answer);
    }

    private void ended(ResponseHead answer) {
        if (done) {
            return;
        }
        done = true;
        boolean answeredEarly = !requestWritten;
        lent.connection().closeHandler(null);
        if (answeredEarly || answer.attemptId() == null) {
            TargetConnections.close(lent.connection());
        } else {
            connections.release(lent, answer);
        }
        listener.onEnd();
    }

    private void broken(String reason) {
        if (done) {
            return;
        }
        done = true;
        TargetConnections.close(lent.connection());
        listener.onBroken(head == null ? "no answer: " + reason : "answer broke off: " + reason);
    }
}
