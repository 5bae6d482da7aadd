package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class AuthenticatedHttpTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final String PATH = "/order";

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Relays connections to {@code port}, with bytes in front of the first ones that come back. */
    private void relay(int port, String prefix) {
        vertx.createNetServer()
                .connectHandler(caller -> {
                    caller.pause();
                    vertx.createNetClient().connect(port, "127.0.0.1").onSuccess(process -> {
                        caller.handler(process::write);
                        process.handler(
                                bytes -> caller.write(Buffer.buffer(prefix).appendBuffer(bytes)));
                        caller.resume();
                    });
                })
                .listen(port, "127.0.0.2")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    @Test
    void failuresBehindACutReplyAreNoReply() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        AuthenticatedHttp process = new AuthenticatedHttp(vertx, new SharedKey("secret"), port);
        process.registerHandler(
                PATH, content -> CompletableFuture.failedFuture(new IllegalStateException("not carried out")));
        process.listen("127.0.0.1").join();
        relay(port, "HTTP/1.1 200 O");

        CompletableFuture<Boolean> failed =
                process.call("127.0.0.2", PATH, new byte[1], TIMEOUT).handle((reply, error) -> error != null);

        assertThat(failed).succeedsWithin(TIMEOUT).isEqualTo(true);
    }
}
