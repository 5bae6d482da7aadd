package firwheel.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpPlatformClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private boolean succeeds(String reply) throws Exception {
        int port = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> socket.write(reply)))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        return new HttpPlatformClient(vertx, URI.create("http://127.0.0.1:" + port), TIMEOUT)
                .put("name", new byte[1])
                .handle((done, error) -> error == null)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Test
    void refusalsBehindACutReplyAreNoSuccess() throws Exception {
        List<Integer> wrongCuts = new ArrayList<>();
        for (int cut = 1; cut < FIRST.length(); cut++) {
            if (succeeds(FIRST.substring(0, cut) + SECOND)) {
                wrongCuts.add(cut);
            }
        }

        assertThat(wrongCuts).isEmpty();
        assertThat(succeeds(FIRST)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 0200 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200\t\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length A: 2\r\n\r\nanswer",
                "HTTP/1.1 102 Processing\r\n\r\n" + SECOND
            })
    void malformedAndInterimHeadsAreNoSuccess(String reply) throws Exception {
        assertThat(succeeds(reply)).isFalse();
    }
}
