package firwheel.proxy.server;

import firwheel.model.ResponseHeadCheck;
import firwheel.proxy.attempt.JoinedContentScanner;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;

/**
 * One request and response on a connection to a target. The listener is notified of the head, of the body as it
 * arrives, and then once of the end or of a failure. After {@link #cancel} it is no longer notified.
 */
final class TargetExchange {
    /** Receives the response. */
    interface Listener {
        void onHead(ResponseHead head);

        void onBytes(Buffer bytes);

        void onEnd();

        /** In place of the response, one to an earlier request arrived. */
        void onExtraResponse(String reason);

        void onFailure(String reason);
    }

    private final TargetConnectionPool connections;
    private final TargetConnectionPool.Lease lease;
    private final ProxyProtocol protocol;
    private final @Nullable String attemptId;
    private final Listener listener;
    private @Nullable ResponseHead head;
    private @Nullable HttpClientResponse response;
    private boolean requestWritten;
    private boolean done;

    TargetExchange(
            TargetConnectionPool connections,
            TargetConnectionPool.Lease lease,
            ProxyProtocol protocol,
            @Nullable String attemptId,
            Listener listener) {
        this.connections = connections;
        this.lease = lease;
        this.protocol = protocol;
        this.attemptId = attemptId;
        this.listener = listener;
    }

    /** Writes the request, which may be executed from now on. */
    void send(HttpMethod method, String uri, MultiMap headers, Buffer body) {
        lease.connection().closeHandler(ignored -> fail("connection closed"));
        RequestOptions options = new RequestOptions().setMethod(method).setURI(uri);
        var unused = lease.connection().request(options).onComplete(result -> {
            if (done) {
                return;
            }
            if (result.failed()) {
                fail("connection lost: " + result.cause().getMessage());
                return;
            }
            write(result.result(), headers, body);
        });
    }

    /** Cancels the exchange and closes its connection, which signals the target to stop. */
    void cancel() {
        done = true;
        TargetConnectionPool.close(lease.connection());
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
        request.exceptionHandler(error -> fail(String.valueOf(error.getMessage())));
        var unused = request.response().onComplete(result -> {
            if (done) {
                return;
            }
            if (result.failed()) {
                fail(String.valueOf(result.cause().getMessage()));
            } else {
                onResponse(result.result());
            }
        });
        boolean emptyBody = body.length() == 0 && !headers.contains("Content-Length");
        var unusedEnd = (emptyBody ? request.end() : request.end(body)).onSuccess(ignored -> requestWritten = true);
    }

    private void onResponse(HttpClientResponse received) {
        JoinedContentScanner scanner = new JoinedContentScanner(protocol.attemptIdHeader(), id -> id.equals(attemptId));
        logViolation(
                received,
                new ResponseHeadCheck(protocol.singleResponseHeaders())
                        .violation(received.statusMessage(), received.headers()));
        ResponseHead responseHead = protocol.readResponseHead(received);
        String respondedId = responseHead.attemptId();
        if (lease.reused() && !belongsToRequest(respondedId)) {
            done = true;
            connections.onExtraResponse(lease.target(), respondedId, attemptId);
            TargetConnectionPool.close(lease.connection());
            listener.onExtraResponse("response to attempt " + respondedId + " instead of " + attemptId);
            return;
        }
        if (!belongsToRequest(respondedId)) {
            fail("response to attempt " + respondedId + " instead of " + attemptId);
            return;
        }
        head = responseHead;
        response = received;
        received.exceptionHandler(error -> fail(String.valueOf(error.getMessage())));
        received.handler(bytes -> {
            scanner.accept(bytes.getBytes());
            logViolation(received, scanner.violation());
            if (!done) {
                listener.onBytes(bytes);
            }
        });
        received.endHandler(ignored -> complete(responseHead));
        listener.onHead(responseHead);
    }

    private void logViolation(HttpClientResponse received, @Nullable String violation) {
        if (violation != null) {
            connections.onMalformedResponse(lease, attemptId, received.statusCode(), violation);
        }
    }

    /** Without an identifier, a response on a connection with earlier requests may be one to those. */
    private boolean belongsToRequest(@Nullable String respondedId) {
        return respondedId == null ? !lease.reused() : respondedId.equals(attemptId);
    }

    private void complete(ResponseHead responseHead) {
        if (done) {
            return;
        }
        done = true;
        boolean respondedEarly = !requestWritten;
        lease.connection().closeHandler(null);
        if (respondedEarly || responseHead.attemptId() == null) {
            TargetConnectionPool.close(lease.connection());
        } else {
            boolean mayBeSentAgain = !responseHead.success() || !responseHead.signed() || responseHead.contentEncoded();
            connections.release(lease, responseHead, mayBeSentAgain ? attemptId : null);
        }
        listener.onEnd();
    }

    private void fail(String reason) {
        if (done) {
            return;
        }
        done = true;
        TargetConnectionPool.close(lease.connection());
        listener.onFailure(head == null ? "no response: " + reason : "response interrupted: " + reason);
    }
}
