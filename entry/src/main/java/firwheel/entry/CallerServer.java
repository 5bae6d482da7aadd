package firwheel.entry;

import firwheel.model.FaultBoundary;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** HTTP/1.1 server for callers. It limits the size of request heads and the idle time of connections. */
final class CallerServer {
    private static final int MAX_REQUEST_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EntryMetrics metrics;
    private final Consumer<HttpServerRequest> handler;
    private final FaultBoundary boundary = FaultBoundary.ofProcess();
    private final Map<HttpConnection, ConnectionGuard> guards = new HashMap<>();

    private CallerServer(
            Vertx vertx, EntrySettings settings, EntryMetrics metrics, Consumer<HttpServerRequest> requestHandler) {
        this.vertx = vertx;
        this.settings = settings;
        this.metrics = metrics;
        this.handler = requestHandler;
    }

    /** Starts the server; {@code requestHandler} is called on the event loop with each valid HTTP request. */
    static CompletableFuture<HttpServer> listen(
            Vertx vertx, EntrySettings settings, EntryMetrics metrics, Consumer<HttpServerRequest> requestHandler) {
        CallerServer server = new CallerServer(vertx, settings, metrics, requestHandler);
        return vertx.createHttpServer(options())
                .connectionHandler(server::onConnection)
                .requestHandler(server::onRequest)
                .invalidRequestHandler(server::onInvalidRequest)
                .listen(settings.port(), settings.ip())
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static HttpServerOptions options() {
        return new HttpServerOptions()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
    }

    private void onConnection(HttpConnection connection) {
        guards.put(
                connection,
                new ConnectionGuard(vertx, connection, settings.bodyTimeoutMillis(), settings.idleTimeoutMillis()));
        connection.closeHandler(ignored -> {
            ConnectionGuard guard = guards.remove(connection);
            if (guard != null) {
                guard.stop();
            }
        });
    }

    private void onRequest(HttpServerRequest request) {
        if (!boundary.run("accept request", () -> accept(request))) {
            request.connection().close();
        }
    }

    private void accept(HttpServerRequest request) {
        ConnectionGuard guard = guards.get(request.connection());
        if (guard != null) {
            guard.requestStarted();
            request.response().endHandler(ignored -> guard.requestEnded());
        }
        handler.accept(request);
    }

    private void onInvalidRequest(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        FirwheelException failure = tooLong
                ? new FirwheelException(
                        ResultCode.HEAD_TOO_LARGE,
                        "the request head exceeds the limits of " + MAX_REQUEST_LINE_BYTES
                                + " bytes for the request line and " + MAX_HEADER_BYTES + " bytes for all headers")
                : new FirwheelException(ResultCode.MALFORMED_HTTP, "the request is not valid HTTP");
        new ResponseWriter(request, CallerRequestReader.requestId(request), metrics).fail(failure);
        request.connection().close();
    }
}
