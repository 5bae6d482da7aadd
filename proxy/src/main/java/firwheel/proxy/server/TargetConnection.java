package firwheel.proxy.server;

import firwheel.model.FaultBoundary;
import firwheel.model.ResponseHeadCheck;
import firwheel.proxy.attempt.JoinedContentScanner;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a target, which carries one request at a time. It decides whether the bytes received are one response,
 * before any other code reads them.
 */
final class TargetConnection {
    /** Receives the response to one request: a head, content, and then one end or failure. */
    interface Listener {
        void onHead(int status, MultiMap headers);

        void onContent(Buffer bytes);

        /** The response is complete. */
        void onEnd(Ending ending);

        /** The bytes received are not one response, by the rule in {@code reason}. The connection is closed. */
        void onMalformed(String reason);

        /** The connection ended before the response. */
        void onConnectionLost(String reason);
    }

    /** Is notified once of what happens to a connection without a request. */
    interface IdleListener {
        void onClosed();

        /** Bytes arrived that belong to no request. The connection is closed. */
        void onExtraBytes();
    }

    /** What a connection can be used for after a response. */
    enum Ending {
        REUSABLE,
        CLOSED,
        /** Bytes followed that belong to no request. */
        EXTRA_BYTES
    }

    private static final Duration BOUNDARY_WAIT = Duration.ofMillis(25);
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int MAX_REMEMBERED_IDS = 64; // bounds the memory of a connection

    private final Vertx vertx;
    private final NetSocketInternal socket;
    private final TargetResponseDecoder decoder = new TargetResponseDecoder();
    private final ResponseHeadCheck headCheck;
    private final String idHeader;
    private final FaultBoundary idleBoundary = FaultBoundary.ofProcess();
    private final Deque<String> sentIds = new ArrayDeque<>();
    private @Nullable IdleListener idleListener;
    private @Nullable Listener listener;
    private FaultBoundary boundary = idleBoundary;
    private @Nullable JoinedContentScanner scanner;
    private int interimResponses;
    private Buffer following = Buffer.buffer();
    private boolean deciding;
    private boolean persistent;
    private boolean ended;
    private long decisionTimer = -1;

    /** Takes over a connected socket. Must be called on its event loop. */
    TargetConnection(Vertx vertx, NetSocket socket, ProxyProtocol protocol) {
        this.vertx = vertx;
        this.socket = (NetSocketInternal) socket;
        headCheck = new ResponseHeadCheck(protocol.singleResponseHeaders());
        idHeader = protocol.attemptIdHeader();
        ChannelHandlerContext context = this.socket.channelHandlerContext();
        if (context.channel().config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator reads) {
            reads.maxMessagesPerRead(1); // other connections get their turn
        }
        context.pipeline().addBefore(context.name(), "request-encoder", new HttpRequestEncoder());
        context.pipeline().addBefore(context.name(), "response-decoder", decoder);
        this.socket.messageHandler(message -> runStep("bytes of target", () -> onMessage(message)));
        this.socket.exceptionHandler(error -> {}); // the decoder reports it in order, behind what was received before
    }

    /** Returns whether a request with an identifier was sent on the connection lately. */
    boolean hasCarried(String attemptId) {
        return sentIds.contains(attemptId);
    }

    /**
     * Sends a request. The future completes when it has been written.
     *
     * @param attemptId identifier that the response to it states, or null if it has none
     * @param requestBoundary boundary within which the listener is notified
     */
    Future<Void> send(
            FullHttpRequest request,
            @Nullable String attemptId,
            FaultBoundary requestBoundary,
            Listener responseListener) {
        listener = responseListener;
        boundary = requestBoundary;
        scanner = new JoinedContentScanner(idHeader, this::hasCarried);
        interimResponses = 0;
        if (attemptId != null) {
            if (sentIds.size() == MAX_REMEMBERED_IDS) {
                sentIds.removeFirst();
            }
            sentIds.addLast(attemptId);
        }
        decoder.expectResponse(request.method().equals(HttpMethod.HEAD));
        return socket.writeMessage(request);
    }

    /** Sets who is notified while the connection carries no request, or null. */
    void setIdleListener(@Nullable IdleListener newIdleListener) {
        idleListener = newIdleListener;
        boundary = idleBoundary;
    }

    void pause() {
        socket.pause();
    }

    void resume() {
        socket.resume();
    }

    /** Closes the connection; the listener is no longer notified. */
    void close() {
        listener = null;
        idleListener = null;
        cancelDecision();
        var unused = socket.close();
    }

    private void runStep(String step, Runnable action) {
        if (!boundary.run(step, action)) {
            onIdle(IdleListener::onClosed);
            close();
        }
    }

    private void onMessage(Object message) {
        if (message instanceof TargetMessage.Head head) {
            onHead(head.response());
        } else if (message instanceof TargetMessage.Content content) {
            onContent(content.bytes());
        } else if (message instanceof TargetMessage.End end) {
            onEnd(end);
        } else if (message instanceof TargetMessage.Malformed malformed) {
            fail("no response: " + malformed.reason());
        } else if (message instanceof TargetMessage.Surplus surplus) {
            onSurplus(surplus.bytes());
        } else if (message instanceof TargetMessage.ConnectionEnded connectionEnded) {
            onConnectionEnded(connectionEnded.reason());
        } else {
            ReferenceCountUtil.release(message); // received before the decoder was there, so without a request
            close();
        }
    }

    private void onHead(HttpResponse response) {
        String violation = headViolation(response);
        if (violation != null) {
            fail(violation);
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            return;
        }
        persistent = HttpUtil.isKeepAlive(response);
        if (listener != null) {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            for (Map.Entry<String, String> header : response.headers()) {
                headers.add(header.getKey(), header.getValue());
            }
            listener.onHead(response.status().code(), headers);
        }
    }

    private @Nullable String headViolation(HttpResponse response) {
        HttpVersion version = response.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return "version " + version + " in status line";
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                || interimResponses > MAX_INTERIM_RESPONSES) {
            return "interim response " + response.status().code() + " after " + interimResponses + " others";
        }
        return headCheck.violation(response.status().reasonPhrase(), response.headers());
    }

    private void onContent(Buffer bytes) {
        if (listener == null || scanner == null) {
            return;
        }
        scanner.accept(bytes.getBytes());
        String violation = scanner.violation();
        if (violation != null) {
            fail(violation);
        } else {
            listener.onContent(bytes);
        }
    }

    private void onEnd(TargetMessage.End end) {
        if (listener == null || scanner == null) {
            return;
        }
        String violation = headCheck.trailerViolation(end.trailers());
        if (end.framing() == TargetMessage.Framing.END_OF_CONNECTION && violation == null) {
            scanner.acceptEnd();
            violation = scanner.violation();
        }
        if (violation != null) {
            fail(violation);
            return;
        }
        following = end.following();
        switch (end.framing()) {
            case LENGTH -> decideBoundary();
            case CHUNKS -> complete(endingBehindContent());
            case END_OF_CONNECTION -> complete(Ending.CLOSED);
        }
    }

    private void onSurplus(Buffer bytes) {
        if (deciding) {
            following = following.copy().appendBuffer(bytes);
            decideBoundary();
        } else if (listener != null) {
            fail("bytes before the response"); // received while the connection was idle and paused
        } else {
            onIdle(IdleListener::onExtraBytes);
            close();
        }
    }

    /** Decides whether content of stated length ends where the response does, if need be by bytes that still arrive. */
    private void decideBoundary() {
        if (scanner == null) {
            return;
        }
        switch (scanner.atEnd(following.getBytes())) {
            case SOUND -> completeAtBoundary();
            case JOINED -> failAtBoundary();
            case UNDECIDED -> {
                deciding = true;
                if (decisionTimer < 0) {
                    decisionTimer = vertx.setTimer(
                            BOUNDARY_WAIT.toMillis(), id -> runStep("boundary wait", this::decideFinally));
                }
            }
        }
    }

    private void decideFinally() {
        boolean joined =
                following.length() > 0 && scanner != null && !JoinedContentScanner.beginsResponse(following.getBytes());
        if (joined) {
            failAtBoundary();
        } else {
            completeAtBoundary();
        }
    }

    private void failAtBoundary() {
        fail("response that begins inside the content goes on behind it");
    }

    private void completeAtBoundary() {
        complete(endingBehindContent());
    }

    private Ending endingBehindContent() {
        if (following.length() > 0 || decoder.surplusReceived()) {
            return Ending.EXTRA_BYTES;
        }
        return ended || !persistent ? Ending.CLOSED : Ending.REUSABLE;
    }

    private void complete(Ending ending) {
        cancelDecision();
        Listener responseListener = listener;
        listener = null;
        socket.resume();
        if (responseListener != null) {
            responseListener.onEnd(ending);
        }
    }

    private void fail(String violation) {
        Listener responseListener = listener;
        close();
        if (responseListener != null) {
            responseListener.onMalformed(violation);
        }
    }

    private void onConnectionEnded(String reason) {
        ended = true;
        if (deciding) {
            decideFinally();
            return;
        }
        Listener responseListener = listener;
        onIdle(IdleListener::onClosed);
        close();
        if (responseListener != null) {
            responseListener.onConnectionLost(reason);
        }
    }

    private void onIdle(Consumer<IdleListener> event) {
        IdleListener notified = idleListener;
        idleListener = null;
        if (notified != null) {
            event.accept(notified);
        }
    }

    private void cancelDecision() {
        deciding = false;
        if (decisionTimer >= 0) {
            vertx.cancelTimer(decisionTimer);
            decisionTimer = -1;
        }
    }
}
