package firwheel.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import firwheel.model.RowState;
import firwheel.standin.ExpectedResponse;
import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests link losses, restarts, disconnects, repeats and drains over real sockets between entry, agents and targets. */
final class FaultPathTest {
    private static final Pattern TEXT = Pattern.compile("\"text\":\"([^\"]*)\"");

    private final Deployment deployment = new Deployment();

    @AfterEach
    void close() {
        deployment.close();
    }

    @Nested
    final class Links {
        @Test
        void streamResumesOverNewLink() {
            CompletableFuture<Deployment.Response> response = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            deployment.engineProxy.closeLinks();
            assertCompleteStream(response.join(), "p", 100);
            assertThat(deployment.engine.started()).isEqualTo(1);
        }

        @Test
        void bookingWithLinkLostAfterDispatchCompletesAndRunsOnce() {
            CompletableFuture<Deployment.Response> response = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            deployment.serviceProxy.closeLinks();
            assertThat(response.join().statusCode()).isEqualTo(200);
            assertThat(response.join().outcome()).isEqualTo("complete");
            assertThat(deployment.service.ledger()).hasSize(1);
        }
    }

    @Nested
    final class Restarts {
        @Test
        @Tag("known-red")
        void bookingHasUnknownOutcomeAndRunsOnceWhenAgentRestarts() {
            CompletableFuture<Deployment.Response> response = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            deployment.restartServiceAgent();
            assertThat(response.join().outcome()).isEqualTo("unknown");
            assertThat(deployment.service.ledger()).hasSize(1);
        }

        @Test
        void streamFailsExplicitlyWhenAgentDies() {
            CompletableFuture<Deployment.Response> response = deployment.stream("p", 200);
            deployment.await(() -> deployment.engine.running() == 1);
            deployment.killEngineAgent();
            Throwable aborted = catchThrowable(response::join);
            if (aborted == null) {
                assertThat(response.join().body()).doesNotContain("[DONE]").contains("\"error\"");
            }
        }
    }

    @Nested
    final class Callers {
        @Test
        void disconnectCancelsEngineRequest() throws Exception {
            HttpClientResponse response = deployment.openStream("p", 2_000);
            response.request()
                    .connection()
                    .close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            deployment.await(() -> deployment.engine.cancelled() == 1);
        }

        @Test
        void slowReaderDoesNotDelayOtherCallers() throws Exception {
            HttpClientResponse slow = deployment.openStream("p", 300);
            assertCompleteStream(deployment.stream("q", 20).join(), "q", 20);
            assertCompleteStream(deployment.readAll(slow), "p", 300);
        }
    }

    @Nested
    final class IdempotencyKeys {
        @Test
        void repeatGetsRecordedResponse() {
            Deployment.Response first = deployment.book("{}", "key").join();
            deployment.await(() -> deployment.book("{}", "key").join().statusCode() == 200);
            assertThat(deployment.book("{}", "key").join().body()).isEqualTo(first.body());
            assertThat(deployment.book("{\"a\":1}", "key").join().statusCode()).isEqualTo(422);
            assertThat(deployment.service.ledger()).hasSize(1);
        }

        @Test
        void concurrentRequestsRunOnce() {
            CompletableFuture<Deployment.Response> first = deployment.book("{}", "key");
            CompletableFuture<Deployment.Response> second = deployment.book("{}", "key");
            List<Integer> codes =
                    List.of(first.join().statusCode(), second.join().statusCode());
            assertThat(codes).containsExactlyInAnyOrder(200, 409);
            assertThat(deployment.service.ledger()).hasSize(1);
        }

        @Test
        void nothingRunsWhileStoreIsUnavailable() {
            deployment
                    .platform
                    .close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            Deployment.Response refused = deployment.book("{}", "key").join();
            assertThat(refused.outcome()).isEqualTo("not-run");
            assertThat(refused.hasRetryAfter()).isTrue();
            assertThat(deployment.service.ledger()).isEmpty();
        }
    }

    @Nested
    final class Draining {
        @Test
        void agentFinishesRunningAttemptsAndRefusesNewOnes() {
            CompletableFuture<Deployment.Response> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            CompletableFuture<Void> drained = deployment.engineAgent.drain();
            Deployment.Response refused = deployment.stream("q", 1).join();
            assertThat(refused.outcome()).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
            drained.join();
            assertThat(deployment.engine.started()).isEqualTo(1);
        }

        @Test
        void entryFinishesRunningRequestsAndRefusesNewOnes() {
            CompletableFuture<Deployment.Response> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            CompletableFuture<Void> drained = deployment.entry.drain();
            Deployment.Response refused = deployment.stream("q", 1).join();
            assertThat(refused.outcome()).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
            drained.join();
        }

        @Test
        void forcedDrainFailsOpenRequestsExplicitly() {
            CompletableFuture<Deployment.Response> booking = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            CompletableFuture<Void> drained = deployment.entry.drain();
            deployment.entry.forceDrain();
            assertThat(booking.join().outcome()).isEqualTo("unknown");
            assertThatThrownBy(drained::join).hasMessageContaining("FW-4004");
        }

        @Test
        void leavingRowFinishesRunningAttemptsAndAdmitsNoNewOnes() {
            CompletableFuture<Deployment.Response> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            deployment.publishTable(RowState.LEAVING);
            assertThat(deployment.stream("q", 1).join().outcome()).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
        }
    }

    private static void assertCompleteStream(Deployment.Response response, String prompt, int tokens) {
        assertThat(text(response.body())).isEqualTo(String.join("", ExpectedResponse.tokens("model", prompt, tokens)));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        assertThat(response.outcome()).isEqualTo("complete");
    }

    private static String text(String events) {
        StringBuilder text = new StringBuilder();
        Matcher matcher = TEXT.matcher(events);
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return text.toString();
    }
}
