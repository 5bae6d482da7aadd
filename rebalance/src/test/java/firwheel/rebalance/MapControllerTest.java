package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.mesh.SealedHttp;
import firwheel.model.TimeSource;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Agents and controllers over loopback sockets, beside fake engines. */
final class MapControllerTest {
    private static final int RANKS = 3;
    private static final long GENEROUS_SECONDS = 40;

    private final Vertx vertx = Vertx.vertx();
    private final FakeGroup group = new FakeGroup(RANKS, 12);
    private final AtomicLong terms = new AtomicLong();
    private final List<Integer> winners = new CopyOnWriteArrayList<>();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final List<MapController.RankLoad> loads = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static String ip(int rank) {
        return "127.0.0." + (rank + 1);
    }

    private void startRank(int rank, int port) {
        Engine engine = group.engine(rank);
        EngineAddress address = new EngineAddress(ip(rank), 9_000);
        SealedHttp http = new SealedHttp(vertx, new SharedKey("secret"), port);
        RankAgent agent = new RankAgent(engine, address, TimeSource.system());
        agent.serve(http);
        List<String> others = new ArrayList<>();
        for (int other = 0; other < RANKS; other++) {
            if (other != rank) {
                others.add(ip(other));
            }
        }
        MapController controller = new MapController(
                vertx,
                TimeSource.system(),
                agent,
                engine,
                http,
                name -> {
                    winners.add(rank);
                    return CompletableFuture.completedFuture(terms.incrementAndGet());
                },
                new MapController.Environment(
                        () -> others, other -> engine, () -> new MapPolicyHolder().policy, loads::addAll));
        servers.add(http.listen(ip(rank)).join());
        vertx.getOrCreateContext().runOnContext(ignored -> controller.start());
    }

    /** Policies keep the load; one for each controller. */
    private static final class MapPolicyHolder {
        private static final MapPolicy SHARED = new MapPolicy(1, 12, 6, 3);
        private final MapPolicy policy = SHARED;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void awaitSwitch() throws InterruptedException {
        long giveUp = System.nanoTime() + Duration.ofSeconds(GENEROUS_SECONDS).toNanos();
        while (System.nanoTime() < giveUp) {
            boolean switched = true;
            for (int rank = 0; rank < RANKS; rank++) {
                switched &= group.mapVersion(rank) > 0;
            }
            if (switched) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("no switch; winners " + winners);
    }

    @Nested
    final class Switching {
        @Test
        void rollsABetterMapOutToAllRanks() throws Exception {
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }

            awaitSwitch();

            assertThat(group.differed()).isFalse();
            assertThat(loads).isNotEmpty();
            assertThat(loads.get(0).state().waiting()).isEqualTo(2);
        }
    }
}
