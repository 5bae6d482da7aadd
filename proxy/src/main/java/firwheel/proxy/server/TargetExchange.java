package firwheel.proxy.server;

import firwheel.model.FaultBoundary;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * One request and response on a connection to a target. The listener is notified of the head, of the body as it
 * arrives, and then once of the end or of a failure. After {@link #cancel} it is no longer notified.
 */
final class TargetExchange implements TargetConnection.Listener {
    /** Receives the response. */
    interface Listener {
        /**
         * Called before the content.
         *
         * @param statedBytes length that the head states for the content, or 0 if it states none
         */
        void onHead(ResponseHead head, long statedBytes);

        void onBytes(Buffer bytes);

        void onEnd();

        /** In place of the response, one to an earlier request arrived. */
        void onExtraResponse(String reason);

        /** The bytes received are not one response. */
        void onMalformedResponse(String reason);

        void onFailure(String reason);
    }

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private final TargetConnectionPool connections;
    private final TargetConnectionPool.Lease lease;
    private final ProxyProtocol protocol;
    private final @Nullable String attemptId;
    private final FaultBoundary boundary;
    private final Listener listener;
    private @Nullable ResponseHead head;
    private boolean requestWritten;
    private boolean done;

    TargetExchange(
            TargetConnectionPool connections,
            TargetConnectionPool.Lease lease,
            ProxyProtocol protocol,
            @Nullable String attemptId,
            FaultBoundary boundary,
            Listener listener) {
        this.connections = connections;
        this.lease = lease;
        this.protocol = protocol;
        this.attemptId = attemptId;
        this.boundary = boundary;
        this.listener = listener;
    }

    /** Writes the request, which may be executed from now on. */
    void send(String method, String uri, MultiMap headers, ByteBuf body) {
        int bodyBytes = body.readableBytes();
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, body);
        headers.forEach(header -> request.headers().add(header.getKey(), header.getValue()));
        if (bodyBytes > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        }
        lease.connection()
                .send(request, attemptId, boundary, this)
                .onSuccess(ignored -> requestWritten = true)
                .onFailure(error -> boundary.run("send failed", () -> fail("connection lost: " + error.getMessage())));
    }

    /** Ends the exchange because the target does not keep to a bound; records it and closes the connection. */
    void refuse(String violation) {
        if (!done) {
            connections.onMalformedResponse(lease, attemptId, head == null ? 0 : head.status(), violation);
            abandon();
        }
    }

    /** Cancels the exchange and closes its connection, which signals the target to stop. */
    void cancel() {
        abandon();
    }

    void pause() {
        if (!done) {
            lease.connection().pause();
        }
    }

    void resume() {
        if (!done) {
            lease.connection().resume();
        }
    }

    @Override
    public void onHead(int status, MultiMap headers) {
        ResponseHead responseHead = protocol.readResponseHead(status, headers);
        String respondedId = responseHead.attemptId();
        if (!belongsToRequest(respondedId)) {
            String reason = "response to attempt " + respondedId + " instead of " + attemptId;
            if (lease.reused()) {
                connections.onExtraResponse(lease.target(), respondedId, attemptId);
                abandon();
                listener.onExtraResponse(reason);
            } else {
                fail(reason);
            }
            return;
        }
        head = responseHead;
        listener.onHead(responseHead, statedLength(headers));
    }

    private static long statedLength(MultiMap headers) {
        String stated = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return stated != null && LENGTH.matcher(stated).matches() ? Long.parseLong(stated) : 0;
    }

    @Override
    public void onContent(Buffer bytes) {
        if (!done) {
            listener.onBytes(bytes);
        }
    }

    @Override
    public void onEnd(TargetConnection.Ending ending) {
        ResponseHead responseHead = head;
        if (done || responseHead == null) {
            return;
        }
        done = true;
        boolean respondedEarly = !requestWritten;
        if (ending == TargetConnection.Ending.EXTRA_BYTES) {
            connections.onExtraResponse(lease.target(), null, null);
        }
        if (ending != TargetConnection.Ending.REUSABLE || respondedEarly || responseHead.attemptId() == null) {
            lease.connection().close();
        } else {
            connections.release(lease, responseHead);
        }
        listener.onEnd();
    }

    @Override
    public void onMalformed(String violation) {
        if (!done) {
            refuse(violation);
            listener.onMalformedResponse("not one response: " + violation);
        }
    }

    @Override
    public void onConnectionLost(String reason) {
        fail(reason);
    }

    private void abandon() {
        done = true;
        lease.connection().close();
    }

    /** Without an identifier, a response on a connection with earlier requests may be one to those. */
    private boolean belongsToRequest(@Nullable String respondedId) {
        return respondedId == null ? !lease.reused() : respondedId.equals(attemptId);
    }

    private void fail(String reason) {
        if (done) {
            return;
        }
        abandon();
        listener.onFailure(head == null ? "no response: " + reason : "response interrupted: " + reason);
    }
}
