package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.Futures;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PlacementRelayTest {
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);
    private static final String SOURCE_IP = "127.0.0.2";
    private static final byte[] PLACEMENT = {1, 2, 3};

    private final Vertx vertx = Vertx.vertx();
    private PlacementRelay source;
    private PlacementRelay fetching;

    @BeforeEach
    void listen() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        AuthenticatedHttp sourceHttp = new AuthenticatedHttp(vertx, new SharedKey("secret"), port);
        source = new PlacementRelay(vertx, sourceHttp);
        fetching = new PlacementRelay(vertx, new AuthenticatedHttp(vertx, new SharedKey("secret"), port));
        sourceHttp.listen(SOURCE_IP).join();
    }

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private <T> CompletableFuture<T> onEventLoop(Supplier<CompletableFuture<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(ignored -> Futures.forward(action.get(), result));
        return result;
    }

    @Test
    void fetchesAPlacementThatTheSourceGetsLater() {
        CompletableFuture<byte[]> fetched = onEventLoop(() -> fetching.fetch(SOURCE_IP, 7));
        vertx.setTimer(50, id -> source.offer(7, PLACEMENT));

        assertThat(fetched).succeedsWithin(TEST_TIMEOUT).isEqualTo(PLACEMENT);
    }

    @Test
    void failsIfTheSourceHasAnotherVersionOnly() {
        source.offer(8, PLACEMENT);

        assertThat(onEventLoop(() -> fetching.fetch(SOURCE_IP, 7))).failsWithin(TEST_TIMEOUT);
    }

    @Test
    void failsIfTheSourceCannotBeReached() {
        assertThat(onEventLoop(() -> fetching.fetch("127.0.0.3", 7))).failsWithin(TEST_TIMEOUT);
    }
}
