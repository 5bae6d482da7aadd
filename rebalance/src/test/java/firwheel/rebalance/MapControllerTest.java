package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.experts.rollout.RankView;
import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Agents and controllers that communicate over loopback sockets, with fake engines. */
final class MapControllerTest {
    private static final int RANKS = 3;
    private static final int FIRST_ENGINE_PORT = 9_000;
    private static final long TIMEOUT_SECONDS = 40;

    private final Vertx vertx = Vertx.vertx();
    private final FakeGroup group = new FakeGroup(RANKS, 12);
    private final AtomicLong terms = new AtomicLong();
    private final Set<EngineAddress> engines = Set.of(engine(0), engine(1), engine(2));
    private final List<MapPolicy> policies = List.of(newPolicy(), newPolicy(), newPolicy());
    private final List<Integer> winners = new CopyOnWriteArrayList<>();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final List<GroupReport.RankLoad> loads = new CopyOnWriteArrayList<>();
    private final AtomicLong reports = new AtomicLong();
    private final List<Closeable> sockets = new ArrayList<>();
    private @Nullable EngineAddress silentEngine;
    private volatile boolean electionsFail;

    @AfterEach
    void close() throws IOException {
        for (Closeable socket : sockets) {
            socket.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static MapPolicy newPolicy() {
        return new MapPolicy(1, 12, 6, 3, Duration.ofMillis(5));
    }

    private static EngineAddress engine(int rank) {
        return new EngineAddress(ip(rank), FIRST_ENGINE_PORT + rank);
    }

    private static String ip(int rank) {
        return "127.0.0." + (rank + 1);
    }

    private void startRank(int rank, int port) {
        Engine engine = group.engine(rank);
        EngineAddress address = engine(rank);
        AuthenticatedHttp http = new AuthenticatedHttp(vertx, new SharedKey("secret"), port);
        RankAgent agent = new RankAgent(engine, address, TimeSource.system());
        agent.registerHandlers(vertx, http);
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
                    return electionsFail
                            ? CompletableFuture.failedFuture(new IOException("no reply from the store"))
                            : CompletableFuture.completedFuture(terms.incrementAndGet());
                },
                new ControllerEnvironment(
                        () -> others,
                        other -> other.equals(silentEngine)
                                ? new SilentEngine(vertx)
                                : group.engine(other.port() - FIRST_ENGINE_PORT),
                        () -> policies.get(rank),
                        report -> {
                            loads.addAll(report.loads());
                            reports.incrementAndGet();
                        },
                        () -> engines,
                        new MapMetrics()));
        servers.add(http.listen(ip(rank)).join());
        vertx.getOrCreateContext().runOnContext(ignored -> controller.start());
    }

    /** Cuts off the host of a rank: attempts to connect to its agent get no reply. */
    private void cutOff(int rank, int port) throws IOException {
        silentEngine = engine(rank);
        InetSocketAddress address = new InetSocketAddress(ip(rank), port);
        sockets.add(new ServerSocket(port, 1, address.getAddress()));
        for (int i = 0; i < 4; i++) {
            SocketChannel queued = SocketChannel.open();
            queued.configureBlocking(false);
            queued.connect(address);
            sockets.add(queued);
        }
    }

    private void awaitReports(long count) throws InterruptedException {
        long last = reports.get() + count;
        long deadlineNanos =
                System.nanoTime() + Duration.ofSeconds(TIMEOUT_SECONDS).toNanos();
        while (reports.get() < last && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(reports.get()).isGreaterThanOrEqualTo(last);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void awaitSwitch() throws InterruptedException {
        long deadlineNanos =
                System.nanoTime() + Duration.ofSeconds(TIMEOUT_SECONDS).toNanos();
        while (System.nanoTime() < deadlineNanos) {
            boolean switched = true;
            for (int rank = 0; rank < RANKS; rank++) {
                switched &= group.mapVersion(rank) > 0;
            }
            if (switched) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("ranks did not switch to a new map; elected ranks: " + winners);
    }

    @Nested
    final class Takeover {
        /**
         * The controller and the agent of the last rank have failed; its engine holds a step, for which another rank is
         * armed.
         */
        @Test
        void releasesHeldStepWhenAgentOfHoldRankDoesNotRespond() throws Exception {
            group.simulateFailedController(RANKS - 1, 0);
            int port = freePort();
            for (int rank = 0; rank < RANKS - 1; rank++) {
                startRank(rank, port);
            }

            long deadlineNanos =
                    System.nanoTime() + Duration.ofSeconds(TIMEOUT_SECONDS).toNanos();
            while (group.isHeld() && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(20);
            }

            assertThat(group.isHeld()).isFalse();
            assertThat(group.mapsDiverged()).isFalse();
            assertThat(group.mapVersion(0)).isZero();
        }
    }

    /**
     * Guards against a delayed order that releases the hold of a controller which does not know that its step was used
     * before: all agents have been started again since, so none of them remembers the step.
     */
    @Nested
    final class RestartOfAllAgents {
        private static final int MAX_STEPS_AHEAD = 9; // of the holds of earlier controllers

        @Test
        void makesFirstControllerSkipStepsThatMayHaveBeenUsed() throws Exception {
            group.setIdle(true);
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }
            awaitReports(16);
            assertThat(group.firstHold()).isEqualTo(RankView.NONE);

            group.setIdle(false);
            awaitSwitch();

            assertThat(group.firstHold()).isGreaterThan(MAX_STEPS_AHEAD);
        }
    }

    @Nested
    final class DifferentMaps {
        /** Guards against controllers that wait for ranks with different maps to agree, which they never do. */
        @Test
        void areReplacedByOneOfAllExperts() throws Exception {
            group.splitMaps();
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }

            awaitSwitch();
            awaitReports(4);

            assertThat(group.usesOneMapOfAllExperts()).isTrue();
        }
    }

    @Nested
    final class Switching {
        @Test
        void rollsOutBetterMapToAllRanks() throws Exception {
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }

            awaitSwitch();

            assertThat(group.mapsDiverged()).isFalse();
            assertThat(loads).isNotEmpty();
            assertThat(loads.get(0).state().waiting()).isEqualTo(2);
        }

        /** Reading the placement again would delay the next map by a reading. */
        @Test
        void doesNotReadPlacementThatItHasJustRolledOut() throws Exception {
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }
            awaitSwitch();

            awaitReports(4);

            assertThat(group.placementReadsSinceSwitch()).isZero();
        }

        /** Demand may shift while experts are loaded, and the next map is planned right after the switch. */
        @Test
        void readsSelectionsWhileExpertsAreLoaded() throws Exception {
            group.neverFinishLoading();
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }
            long deadlineNanos =
                    System.nanoTime() + Duration.ofSeconds(TIMEOUT_SECONDS).toNanos();
            while (!group.isLoading() && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            int readsBefore = group.selectionReads();

            awaitReports(4);

            assertThat(group.selectionReads()).isGreaterThan(readsBefore);
        }

        /** Agents report each selection once, so what is not recorded is missing from the first plan. */
        @Test
        void recordsSelectionsWhilePlacementIsUnknown() throws Exception {
            group.hidePlacement();
            startRank(0, freePort());
            awaitReports(6);

            assertThat(policies.get(0)
                            .imbalance(
                                    new int[][][] {{{0, 1, 2, 3}, {4, 5, 6, 7}, {8, 9, 10, 11}}},
                                    new double[] {1, 1, 1}))
                    .isGreaterThan(2);
        }

        /**
         * Without the earlier load, the group would run several times slower on its initial map until load is measured
         * again.
         */
        @Test
        void plansFromEarlierLoadAfterGroupIsReformed() throws Exception {
            int port = freePort();
            for (int rank = 0; rank < RANKS; rank++) {
                startRank(rank, port);
            }
            awaitSwitch();

            group.reformWithoutRequests();

            awaitSwitch();
            assertThat(group.mapsDiverged()).isFalse();
        }
    }

    @Nested
    final class UnresponsiveRank {
        @Test
        void doesNotMakeOtherAgentsElectAnotherController() throws Exception {
            int port = freePort();
            cutOff(RANKS - 1, port);
            for (int rank = 0; rank < RANKS - 1; rank++) {
                startRank(rank, port);
            }
            awaitReports(4);
            List<Integer> earlierWinners = List.copyOf(winners);

            awaitReports(16);

            assertThat(winners).isEqualTo(earlierWinners);
        }
    }

    @Nested
    final class FailedElections {
        @Test
        void areRepeatedAfterTheElectionTimeoutOnly() throws Exception {
            electionsFail = true;
            long startNanos = System.nanoTime();
            startRank(0, freePort());
            while (winners.size() < 4) {
                TimeUnit.MILLISECONDS.sleep(20);
            }

            // Four times the 500 ms that an agent waits which has never heard of a controller.
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isGreaterThan(Duration.ofSeconds(2));
        }
    }
}
