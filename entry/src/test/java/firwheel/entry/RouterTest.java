package firwheel.entry;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.agent.AgentServer;
import firwheel.agent.AgentSettings;
import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.routing.RandomSource;
import firwheel.routing.RoutingPolicies;
import firwheel.standin.StandInEngine;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests over real sockets that the entry routes requests away from a faulty rank. */
final class RouterTest {
    private static final String IP = "127.0.0.1";
    private static final String ZONE = "zone";
    private static final String KEY = "test-key";
    private static final Duration STALL_DURATION = Duration.ofHours(1);
    private static final int OK = 200;
    private static final long SHORT_DEADLINE_MILLIS = 300;
    private static final long LONG_DEADLINE_MILLIS = 60_000;
    private static final EntrySettings ENTRY =
            new EntrySettings(IP, 0, 0, 0, ZONE, "", List.of(), KEY, null, 100_000, 5_000, 60_000, 1_000);

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicReference<TableSnapshot> table = new AtomicReference<>(TableSnapshot.EMPTY);

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    @Timeout(60)
    void rankStalledMidStreamGetsNoNewRequests() throws Exception {
        StandInEngine stalled = new StandInEngine(vertx, Duration.ofMillis(1), STALL_DURATION);
        StandInEngine healthy = new StandInEngine(vertx, Duration.ofMillis(1), Duration.ofMillis(1));
        table.set(new TableSnapshot(1, List.of(row("stalled", 1_000, stalled), row("healthy", 1, healthy))));
        EntryServer entry = EntryServer.start(
                        vertx, ENTRY, table::get, RoutingPolicies.TOKEN_AWARE.create(RandomSource.seeded(1)))
                .join();

        InputStream stalledStream = client.send(
                        completion(entry, "first", true, LONG_DEADLINE_MILLIS),
                        HttpResponse.BodyHandlers.ofInputStream())
                .body();
        assertThat(stalledStream.read()).as("first byte of the stream").isEqualTo('d');
        assertThat(stalled.started())
                .as("requests started at the rank with the higher weight")
                .isEqualTo(1);
        int status = 0;
        while (status != OK) {
            status = status(completion(entry, "until the stall is seen", false, SHORT_DEADLINE_MILLIS));
        }

        long startedBefore = stalled.started();
        for (int i = 0; i < 20; i++) {
            assertThat(status(completion(entry, "prompt " + i, false, LONG_DEADLINE_MILLIS)))
                    .isEqualTo(OK);
        }
        assertThat(stalled.started()).isEqualTo(startedBefore);
        stalledStream.close();
    }

    @Test
    @Timeout(60)
    void unreachableRankFailsNoRequest() throws Exception {
        StandInEngine healthy = new StandInEngine(vertx, Duration.ofMillis(1), Duration.ofMillis(1));
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = socket.getLocalPort();
        }
        TargetRow unreachable = row("dead", 1_000, closedPort);
        table.set(new TableSnapshot(1, List.of(unreachable, row("healthy", 1, healthy))));
        EntryServer entry = EntryServer.start(
                        vertx, ENTRY, table::get, RoutingPolicies.TOKEN_AWARE.create(RandomSource.seeded(1)))
                .join();

        for (int i = 0; i < 20; i++) {
            assertThat(status(completion(entry, "prompt " + i, false, LONG_DEADLINE_MILLIS)))
                    .isEqualTo(OK);
        }
        assertThat(healthy.started()).isEqualTo(20);
    }

    private int status(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static HttpRequest completion(EntryServer entry, String prompt, boolean stream, long deadlineMillis) {
        String body = "{\"model\":\"m\",\"prompt\":\"" + prompt + "\",\"max_tokens\":4,\"stream\":" + stream + "}";
        return HttpRequest.newBuilder(URI.create("http://" + IP + ":" + entry.port() + "/v1/completions"))
                .header("Firwheel-Deadline-Millis", String.valueOf(deadlineMillis))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Starts an agent for the engine and returns its table row. */
    private TargetRow row(String name, double weight, StandInEngine engine) {
        int enginePort = engine.listen(IP, 0).join().actualPort();
        AgentSettings settings =
                new AgentSettings(IP, 0, 0, ZONE, name, 0, IP, enginePort, "", List.of(), KEY, null, 1_000);
        return row(
                name,
                weight,
                AgentServer.start(vertx, settings, table::get).join().port());
    }

    private static TargetRow row(String name, double weight, int agentPort) {
        return new TargetRow(
                name,
                TargetKind.MODEL,
                List.of("m"),
                ZONE,
                RowState.SERVING,
                weight,
                64,
                64,
                1_000_000,
                true,
                List.of(new RankAddress(0, IP, agentPort)),
                true,
                true,
                1,
                1);
    }
}
