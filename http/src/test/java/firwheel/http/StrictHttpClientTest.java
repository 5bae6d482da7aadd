package firwheel.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StrictHttpClientTest {
    private static final long TIMEOUT_SECONDS = 8;
    private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            StrictHttpClient.create(vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Starts a server that answers each request with bytes; calls are counted from 1. */
    private int serve(BiConsumer<Integer, NetSocket> respond) {
        AtomicInteger calls = new AtomicInteger();
        NetServer server = vertx.createNetServer().connectHandler(socket -> {
            sockets.add(socket);
            socket.closeHandler(ignored -> connectionClosed.complete(null));
            socket.handler(bytes -> respond.accept(calls.incrementAndGet(), socket));
        });
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    private int serve(String response) {
        return serve((call, socket) -> socket.write(response, "ISO-8859-1"));
    }

    /** Returns the status and the body of a response, or "failed: " and why there is none. */
    private String call(int port) throws Exception {
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/x")
                .compose(request -> request.send("body"))
                .compose(response -> response.body().map(body -> response.statusCode() + " " + body))
                .otherwise(error -> "failed: " + error.getMessage())
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 0200 X\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 200\t\r\nContent-Length: 2\r\n\r\nab",
                "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX A: b\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length A: 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\u0000: b\r\n\r\nab",
                "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + SOUND,
                "HTTP/1.1 101 Switching Protocols\r\n\r\n" + SOUND
            })
    void malformedHeadFailsTheCallAndClosesTheConnection(String response) throws Exception {
        assertThat(call(serve(response))).startsWith("failed: malformed head of a response: ");
        assertThat(connectionClosed).succeedsWithin(Duration.ofSeconds(TIMEOUT_SECONDS));
    }

    @Test
    void interimResponsesWithoutEndFailTheCall() throws Exception {
        assertThat(call(serve("HTTP/1.1 102 Processing\r\n\r\n".repeat(100) + SOUND)))
                .startsWith("failed: malformed head of a response: interim response 102");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                SOUND,
                "HTTP/1.1 200\r\nX-Folded: a\r\n b\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + SOUND,
                "HTTP/1.1 102 Processing\r\nX: a\r\n\r\nHTTP/1.1 150 X\r\n\r\n" + SOUND
            })
    void soundResponsesArrive(String response) throws Exception {
        assertThat(call(serve(response))).isEqualTo("200 ab");
    }

    @Test
    void contentIsNotTakenForAHead() throws Exception {
        String content = "\r\n\r\nHTTP/1.1 000 X\r\nX A: b\r\n\r\n";

        assertThat(call(serve("HTTP/1.1 404 X\r\nContent-Length: " + content.length() + "\r\n\r\n" + content)))
                .isEqualTo("404 " + content);
    }

    @Test
    void headsInPiecesAreChecked() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX A: b\r\n\r\nab";
        int port = serve((call, socket) -> writeSlowly(socket, response, 0));

        assertThat(call(port)).startsWith("failed: malformed head of a response: name of a field");
    }

    private void writeSlowly(NetSocket socket, String bytes, int from) {
        if (from < bytes.length()) {
            socket.write(bytes.substring(from, from + 1));
            vertx.setTimer(1, timer -> writeSlowly(socket, bytes, from + 1));
        }
    }

    @Test
    void laterResponsesOfAConnectionAreChecked() throws Exception {
        int port = serve(
                (call, socket) -> socket.write(call < 3 ? SOUND : "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab"));

        assertThat(call(port)).isEqualTo("200 ab");
        assertThat(call(port)).isEqualTo("200 ab");
        assertThat(call(port)).startsWith("failed: malformed head of a response: no status line");
        assertThat(sockets).hasSize(1);
    }
}
