package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AuthenticatedHttpTest {
    private static final String PROCESS_IP = "127.0.47.1";
    private static final String RELAY_IP = "127.0.47.2";
    private static final int PORT = 7_470; // below the ports that the system gives to other sockets
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final String PATH = "/order";

    private final Vertx vertx = Vertx.vertx();
    private final NetClient relayClient =
            vertx.createNetClient(); // Vert.x closes a client that is no longer referenced

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Relays connections to the process, with bytes in front of the first ones that come back. */
    private void relay(String prefix) {
        vertx.createNetServer()
                .connectHandler(caller -> {
                    caller.pause();
                    relayClient.connect(PORT, PROCESS_IP).onSuccess(process -> {
                        caller.handler(process::write);
                        process.handler(
                                bytes -> caller.write(Buffer.buffer(prefix).appendBuffer(bytes)));
                        caller.resume();
                    });
                })
                .listen(PORT, RELAY_IP)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    /** The address of a process that has ended may be another program's. */
    @Test
    void repliesWithoutEndAreGivenUp() {
        Buffer block = Buffer.buffer(new byte[64 * 1024]);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        vertx.createNetServer()
                .connectHandler(caller -> {
                    long timer = vertx.setPeriodic(1, id -> {
                        while (!caller.writeQueueFull()) {
                            var unused = caller.write(block);
                        }
                    });
                    caller.closeHandler(ignored -> {
                        vertx.cancelTimer(timer);
                        closed.complete(null);
                    });
                    caller.handler(request -> {});
                    var unused = caller.write("HTTP/1.1 200 OK\r\n\r\n");
                })
                .listen(PORT, RELAY_IP)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        AuthenticatedHttp process = new AuthenticatedHttp(vertx, new SharedKey("secret"), PORT);

        CompletableFuture<String> failure = process.call(RELAY_IP, PATH, new byte[1], TIMEOUT)
                .handle((reply, error) -> error == null ? "none" : String.valueOf(error.getMessage()));

        assertThat(failure).succeedsWithin(TIMEOUT).asString().contains("exceeds 8388608 bytes");
        assertThat(closed).succeedsWithin(TIMEOUT);
    }

    @Test
    void failuresBehindACutReplyAreNoReply() {
        AuthenticatedHttp process = new AuthenticatedHttp(vertx, new SharedKey("secret"), PORT);
        process.registerHandler(
                PATH, content -> CompletableFuture.failedFuture(new IllegalStateException("not carried out")));
        process.listen(PROCESS_IP).join();
        relay("HTTP/1.1 200 O");

        CompletableFuture<Boolean> failed =
                process.call(RELAY_IP, PATH, new byte[1], TIMEOUT).handle((reply, error) -> error != null);

        assertThat(failed).succeedsWithin(TIMEOUT).isEqualTo(true);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", " ", "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n", "HTTP/1.1 003 X\r\n\r\n"})
    void authenticContentBehindAMalformedHeadIsNoReply(String prefix) {
        AuthenticatedHttp process = new AuthenticatedHttp(vertx, new SharedKey("secret"), PORT);
        process.registerHandler(PATH, CompletableFuture::completedFuture);
        process.listen(PROCESS_IP).join();
        relay(prefix);

        CompletableFuture<Boolean> failed =
                process.call(RELAY_IP, PATH, new byte[1], TIMEOUT).handle((reply, error) -> error != null);

        assertThat(failed).succeedsWithin(TIMEOUT).isEqualTo(true);
    }

    @Test
    void repliesBehindInterimOnesArrive() {
        AuthenticatedHttp process = new AuthenticatedHttp(vertx, new SharedKey("secret"), PORT);
        process.registerHandler(PATH, CompletableFuture::completedFuture);
        process.listen(PROCESS_IP).join();
        relay("HTTP/1.1 102 Processing\r\n\r\n");

        assertThat(process.call(RELAY_IP, PATH, new byte[] {7}, TIMEOUT))
                .succeedsWithin(TIMEOUT)
                .isEqualTo(new byte[] {7});
    }
}
