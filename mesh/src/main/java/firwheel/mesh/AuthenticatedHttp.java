package firwheel.mesh;

import firwheel.http.StrictHttpClient;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.wire.SharedKey;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP calls between processes of one deployment, for content that does not fit into a datagram. Requests and
 * successful replies carry a message authentication code (MAC) over path and content, computed with the shared key. A
 * call that receives no reply closes its connection, which may be dead.
 */
public final class AuthenticatedHttp {
    private static final String MAC_HEADER = "X-Code";
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300); // hosts are a few ms apart
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024; // more than the state of the largest deployment
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int FAILED = 500;
    private static final Logger logger = LoggerFactory.getLogger(AuthenticatedHttp.class);

    private final Vertx vertx;
    private final SharedKey key;
    private final int port;
    private final HttpClient client;
    private final Map<String, Function<byte[], CompletableFuture<byte[]>>> handlers = new HashMap<>();
    private long bytesSent;
    private long bytesReceived;

    /** Creates a client and server; all processes use the same {@code port}. */
    public AuthenticatedHttp(Vertx vertx, SharedKey key, int port) {
        this.vertx = vertx;
        this.key = key;
        this.port = port;
        client = StrictHttpClient.create(
                vertx, new HttpClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    }

    /** Sets the handler for calls to {@code path}. */
    public void registerHandler(String path, Function<byte[], CompletableFuture<byte[]>> handler) {
        handlers.put(path, handler);
    }

    /** Returns how many bytes of content were sent with calls and replies, without headers. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns how many bytes of content were received with calls and replies, without headers. */
    public long bytesReceived() {
        return bytesReceived;
    }

    /** Starts listening for calls. */
    public CompletableFuture<HttpServer> listen(String ip) {
        return vertx.createHttpServer()
                .requestHandler(request -> request.bodyHandler(body -> handle(request, body.getBytes())))
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Calls a process and returns its reply; fails if no authentic reply arrives within {@code timeout}. */
    public CompletableFuture<byte[]> call(String ip, String path, byte[] content, Duration timeout) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(ip)
                .setPort(port)
                .setURI(path)
                .setIdleTimeout(timeout.toMillis());
        Future<byte[]> reply = client.request(options).compose(request -> {
            request.putHeader(MAC_HEADER, computeMac(path, content));
            bytesSent += content.length;
            return request.send(Buffer.buffer(content)).compose(response -> readReply(path, response)
                    .map(body ->
                            verifyReply(path, response.statusCode(), body.getBytes(), response.getHeader(MAC_HEADER))));
        });
        return reply.toCompletionStage().toCompletableFuture();
    }

    /** Reads a reply, which is not known to be a peer's before it is complete. */
    private static Future<Buffer> readReply(String path, HttpClientResponse response) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(promise::tryFail);
        response.endHandler(ignored -> promise.tryComplete(body));
        response.handler(bytes -> {
            if (body.length() + bytes.length() <= MAX_REPLY_BYTES) {
                body.appendBuffer(bytes);
            } else if (promise.tryFail(new FirwheelException(
                    ResultCode.LINK_LOST, "reply to " + path + " exceeds " + MAX_REPLY_BYTES + " bytes"))) {
                var unused = response.request().connection().close();
            }
        });
        return promise.future();
    }

    private void handle(HttpServerRequest request, byte[] content) {
        String path = request.path();
        bytesReceived += content.length;
        if (!computeMac(path, content).equals(request.getHeader(MAC_HEADER))) {
            Events.log(
                    logger,
                    EventCode.LINK_REFUSED,
                    "peer",
                    request.remoteAddress(),
                    "reason",
                    "invalid message authentication code");
            respond(request, FORBIDDEN, new byte[0]);
            return;
        }
        Function<byte[], CompletableFuture<byte[]>> handler = handlers.get(path);
        if (handler == null) {
            respond(request, NOT_FOUND, new byte[0]);
            return;
        }
        var unused = handler.apply(content).whenComplete((reply, error) -> {
            if (error == null) {
                respond(request, OK, reply);
            } else {
                logger.atInfo()
                        .addKeyValue("path", path)
                        .addKeyValue("reason", String.valueOf(error.getMessage()))
                        .log("handler for peer call failed");
                respond(request, FAILED, new byte[0]);
            }
        });
    }

    private void respond(HttpServerRequest request, int status, byte[] reply) {
        bytesSent += reply.length;
        HttpServerResponse response = request.response().setStatusCode(status);
        if (status == OK) { // a failure with a code would pass for success behind the status line of another reply
            response.putHeader(MAC_HEADER, computeMac(request.path(), reply));
        }
        var unused = response.end(Buffer.buffer(reply));
    }

    private byte[] verifyReply(String path, int status, byte[] reply, @Nullable String mac) {
        bytesReceived += reply.length;
        if (status != OK || !computeMac(path, reply).equals(mac)) {
            throw new FirwheelException(ResultCode.LINK_LOST, "no valid reply to " + path + ", status " + status);
        }
        return reply;
    }

    private String computeMac(String path, byte[] content) {
        return HexFormat.of().formatHex(key.mac(List.of(path.getBytes(StandardCharsets.UTF_8), content)));
    }
}
