package firwheel.entry;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.AttemptId;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.LoadMessage;
import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An agent sends messages about an attempt that the entry cannot pass on. */
final class OddAgentMessagesTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration AT_ONCE = Duration.ofSeconds(2);
    private static final long DRAIN_LIMIT_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final ConcurrentLinkedQueue<Throwable> uncaught = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Starts an entry whose only agent responds to each attempt with {@code messages}. */
    private EntryServer start(Function<AttemptId, List<AttemptMessage>> messages) {
        EntrySettings settings = new EntrySettings(
                LOOPBACK,
                0,
                0,
                0,
                "zone",
                "http://127.0.0.1:1",
                List.of(),
                "test-key",
                null,
                1 << 20,
                30_000,
                60_000,
                DRAIN_LIMIT_MILLIS);
        int agentPort = new LinkEndpoint(
                        vertx, settings.linkSecurity(), new LinkIdentity("127.0.0.1:1", "zone", "agent", 7))
                .listen(LOOPBACK, 0, link -> {
                    link.onMessage(message -> {
                        if (message instanceof AttemptMessage.Dispatch dispatch) {
                            messages.apply(dispatch.attempt()).forEach(link::send);
                        }
                    });
                    sendClock(link);
                })
                .join()
                .actualPort();
        TableSnapshot table = new TableSnapshot(
                1,
                List.of(Deployment.row("service", TargetKind.SERVICE, "orders", false, RowState.SERVING, agentPort)));
        EntryServer entry = EntryServer.start(vertx, settings, () -> table, Deployment::route)
                .join();
        vertx.exceptionHandler(uncaught::add);
        return entry;
    }

    private void sendClock(Link link) {
        link.send(new LoadMessage.ClockReading(System.nanoTime() / 1_000_000));
    }

    private void assertEndsAtOnce(int status, Function<AttemptId, List<AttemptMessage>> messages) throws Exception {
        EntryServer entry = start(messages);
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + LOOPBACK + ":" + entry.port() + "/services/orders/bookings"))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        CompletableFuture<HttpResponse<String>> response =
                HttpClient.newHttpClient().sendAsync(request, HttpResponse.BodyHandlers.ofString());

        assertThat(response.get(AT_ONCE.toMillis(), TimeUnit.MILLISECONDS).statusCode())
                .isEqualTo(status);
        assertThat(entry.drain()).succeedsWithin(Duration.ofMillis(DRAIN_LIMIT_MILLIS / 2));
        assertThat(uncaught).isEmpty();
    }

    @Test
    void endWithoutHeadEndsTheRequest() throws Exception {
        assertEndsAtOnce(502, id -> List.of(new AttemptMessage.End(id, 0, 0)));
    }

    @Test
    void headThatIsNoHeaderEndsTheRequest() throws Exception {
        assertEndsAtOnce(
                502,
                id -> List.of(
                        new AttemptMessage.Head(id, 200, "text/plain\r\nX: y"), new AttemptMessage.End(id, 0, 0)));
    }

    @Test
    void unknownFailureCodeEndsTheRequest() throws Exception {
        assertEndsAtOnce(500, id -> List.of(new AttemptMessage.Failed(id, 9_998, "code of a later version")));
    }

    /** An agent passes on the final status of a target; an older build checks it less. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 199, 600, 999})
    void headWithAStatusThatIsNotFinalEndsTheRequest(int status) throws Exception {
        assertEndsAtOnce(
                502,
                id -> List.of(new AttemptMessage.Head(id, status, "text/plain"), new AttemptMessage.End(id, 0, 0)));
    }
}
