package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A client that calls one agent over loopback. */
final class RankClientTest {
    private static final String AGENT_IP = "127.0.0.2";
    private static final EngineAddress ENGINE = new EngineAddress(AGENT_IP, 9_000);
    private static final RankCall.Read READ = new RankCall.Read(1, false, false, null);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(30);

    private final Vertx vertx = Vertx.vertx();
    private final FakeGroup group = new FakeGroup(1, 4);
    private final AtomicBoolean agentIsSilent = new AtomicBoolean(true);
    private final AtomicInteger directCalls = new AtomicInteger();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private RankClient startAgentAndClient() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        RankAgent agent = new RankAgent(group.engine(0), ENGINE, TimeSource.system());
        AuthenticatedHttp agentHttp = new AuthenticatedHttp(vertx, new SharedKey("secret"), port);
        agentHttp.registerHandler(
                RankCall.READ_PATH,
                content -> agentIsSilent.get()
                        ? new CompletableFuture<>()
                        : agent.read(RankCall.decode(content, RankCall.Read.class))
                                .thenApply(RankCall::encode));
        agentHttp.listen(AGENT_IP).join();
        return new RankClient(
                vertx,
                TimeSource.system(),
                new RankAgent(group.engine(0), ENGINE, TimeSource.system()),
                new AuthenticatedHttp(vertx, new SharedKey("secret"), port),
                address -> {
                    directCalls.incrementAndGet();
                    return group.engine(0);
                });
    }

    private RankClient.Answer await(Supplier<CompletableFuture<RankClient.Answer>> call) {
        CompletableFuture<RankClient.Answer> result = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(ignored -> {
            var unused = call.get().thenAccept(result::complete);
        });
        return result.orTimeout(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    @Nested
    final class AgentThatDidNotRespondOnce {
        /** Calls of engines on other hosts are paid for. */
        @Test
        void isNotBypassedOnceItResponds() throws Exception {
            RankClient client = startAgentAndClient();
            assertThat(await(() -> client.readAgent(AGENT_IP, READ, SHORT_TIMEOUT))
                            .reading())
                    .isNull();
            agentIsSilent.set(false);
            RankClient.Route rank = new RankClient.Route(AGENT_IP, ENGINE);
            while (await(() -> client.readAgent(AGENT_IP, READ, LONG_TIMEOUT)).reading() == null) {
                assertThat(directCalls).hasValue(0);
            }

            RankClient.Answer answer =
                    await(() -> client.readRank(rank, READ, new RankClient.CallOptions(LONG_TIMEOUT, true)));

            assertThat(answer.reading()).isNotNull();
            assertThat(directCalls).hasValue(0);
        }
    }
}
