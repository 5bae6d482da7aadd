package firwheel.rebalance;

import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A group whose agents are on hosts with narrow links, and its controller beside the first rank. */
final class NarrowlyLinkedGroup implements AutoCloseable {
    private static final Duration EXPERT_LOAD_TIME = Duration.ofMillis(5);
    private static final int SPARE_SLOTS = 2;
    private static final int FIRST_ENGINE_PORT = 9_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Size size;
    private final int agentPort = freePort();
    private final int controllerPort = freePort(); // calls to it pass the link of the controller first
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final AtomicInteger bypassedAgents = new AtomicInteger();
    private final FakeGroup group;
    private final AuthenticatedHttp controllerHttp;

    /**
     * Size of a group.
     *
     * @param linkBytesPerSecond rate of the link of each host, in each direction
     */
    record Size(int ranks, int layers, int experts, int slotsPerRank, long linkBytesPerSecond) {
        long placementSlots() {
            return (long) layers * ranks * slotsPerRank;
        }
    }

    /** Starts the agents and the controller. */
    NarrowlyLinkedGroup(Size size) {
        this.size = size;
        group = new FakeGroup(size.ranks(), size.layers(), size.experts());
        NarrowLink controllerLink = newLink();
        List<String> otherAgents = new ArrayList<>();
        for (int rank = 1; rank < size.ranks(); rank++) {
            AuthenticatedHttp http = newHttp(agentPort);
            newAgent(rank).registerHandlers(vertx, http);
            http.listen(serverIp(rank)).join();
            forward(newLink(), ip(rank), agentPort, serverIp(rank), agentPort);
            forward(controllerLink, ip(rank), controllerPort, ip(rank), agentPort);
            otherAgents.add(ip(rank));
        }
        controllerHttp = newHttp(controllerPort);
        RankAgent controllerAgent = newAgent(0);
        controllerAgent.registerHandlers(vertx, controllerHttp);
        controllerHttp.listen(serverIp(0)).join();
        forward(controllerLink, ip(0), agentPort, serverIp(0), controllerPort);
        MapController controller = newController(controllerAgent, otherAgents);
        vertx.getOrCreateContext().runOnContext(ignored -> controller.start());
    }

    private MapController newController(RankAgent agent, List<String> otherAgents) {
        MapPolicy policy =
                new MapPolicy(size.layers(), size.experts(), size.slotsPerRank(), SPARE_SLOTS, EXPERT_LOAD_TIME);
        return new MapController(
                vertx,
                TimeSource.system(),
                agent,
                group.engine(0),
                controllerHttp,
                name -> CompletableFuture.completedFuture(1L),
                new ControllerEnvironment(
                        () -> otherAgents,
                        address -> {
                            bypassedAgents.incrementAndGet();
                            return group.engine(address.port() - FIRST_ENGINE_PORT);
                        },
                        () -> policy,
                        report -> {},
                        Set::of,
                        new MapMetrics()));
    }

    private NarrowLink newLink() {
        return new NarrowLink(vertx, size.linkBytesPerSecond());
    }

    private static void forward(NarrowLink link, String ip, int linkPort, String serverIp, int serverPort) {
        link.forward(ip, linkPort, serverIp, serverPort)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private AuthenticatedHttp newHttp(int port) {
        return new AuthenticatedHttp(vertx, new SharedKey("secret"), port);
    }

    private RankAgent newAgent(int rank) {
        return new RankAgent(
                group.engine(rank), new EngineAddress(ip(rank), FIRST_ENGINE_PORT + rank), TimeSource.system());
    }

    private static String ip(int rank) {
        return "127.0.0." + (rank + 1);
    }

    private static String serverIp(int rank) {
        return "127.0.1." + (rank + 1);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until the last rank uses another map than the initial one, for no more than 30 seconds. */
    void awaitMap() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (mapVersion() == 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Returns the map that the last rank uses. */
    long mapVersion() {
        return group.mapVersion(size.ranks() - 1);
    }

    boolean mapsDiverged() {
        return group.mapsDiverged();
    }

    /** Returns how many bytes of content the controller has sent. */
    long controllerBytesSent() {
        return controllerHttp.bytesSent();
    }

    /** Returns how often the controller called an engine of another host directly. */
    int bypassedAgents() {
        return bypassedAgents.get();
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
