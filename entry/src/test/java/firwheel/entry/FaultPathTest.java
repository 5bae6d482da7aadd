package firwheel.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import firwheel.model.RowState;
import firwheel.standin.ExpectedResponse;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
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
            CompletableFuture<HttpResponse<String>> response = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            deployment.engineProxy.closeLinks();
            assertCompleteStream(response.join(), "p", 100);
            assertThat(deployment.engine.started()).isEqualTo(1);
        }

        @Test
        void bookingWithLinkLostAfterDispatchCompletesAndRunsOnce() {
            CompletableFuture<HttpResponse<String>> response = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            deployment.serviceProxy.closeLinks();
            assertThat(response.join().statusCode()).isEqualTo(200);
            assertThat(outcome(response.join())).isEqualTo("complete");
            assertThat(deployment.service.ledger()).hasSize(1);
        }
    }

    @Nested
    final class Restarts {
        @Test
        void bookingHasUnknownOutcomeAndRunsOnceWhenAgentRestarts() {
            CompletableFuture<HttpResponse<String>> response = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            deployment.restartServiceAgent();
            assertThat(outcome(response.join())).isEqualTo("unknown");
            assertThat(deployment.service.ledger()).hasSize(1);
        }

        @Test
        void streamFailsExplicitlyWhenAgentDies() {
            CompletableFuture<HttpResponse<String>> response = deployment.stream("p", 200);
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
            String body = "{\"model\":\"model\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":2000}";
            HttpResponse<InputStream> response = deployment.client.send(
                    deployment.request("/v1/completions", body).build(), HttpResponse.BodyHandlers.ofInputStream());
            response.body().close();
            deployment.await(() -> deployment.engine.cancelled() == 1);
        }

        @Test
        void slowReaderDoesNotDelayOtherCallers() throws Exception {
            String body = "{\"model\":\"model\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":300}";
            HttpResponse<InputStream> slow = deployment.client.send(
                    deployment.request("/v1/completions", body).build(), HttpResponse.BodyHandlers.ofInputStream());
            assertCompleteStream(deployment.stream("q", 20).join(), "q", 20);
            String text = new String(slow.body().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(text(text)).isEqualTo(String.join("", ExpectedResponse.tokens("model", "p", 300)));
        }
    }

    @Nested
    final class IdempotencyKeys {
        @Test
        void repeatGetsRecordedResponse() {
            HttpResponse<String> first = deployment.book("{}", "key").join();
            deployment.await(() -> deployment.book("{}", "key").join().statusCode() == 200);
            assertThat(deployment.book("{}", "key").join().body()).isEqualTo(first.body());
            assertThat(deployment.book("{\"a\":1}", "key").join().statusCode()).isEqualTo(422);
            assertThat(deployment.service.ledger()).hasSize(1);
        }

        @Test
        void concurrentRequestsRunOnce() {
            CompletableFuture<HttpResponse<String>> first = deployment.book("{}", "key");
            CompletableFuture<HttpResponse<String>> second = deployment.book("{}", "key");
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
            HttpResponse<String> refused = deployment.book("{}", "key").join();
            assertThat(outcome(refused)).isEqualTo("not-run");
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            assertThat(deployment.service.ledger()).isEmpty();
        }
    }

    @Nested
    final class Draining {
        @Test
        void agentFinishesRunningAttemptsAndRefusesNewOnes() {
            CompletableFuture<HttpResponse<String>> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            CompletableFuture<Void> drained = deployment.engineAgent.drain();
            HttpResponse<String> refused = deployment.stream("q", 1).join();
            assertThat(outcome(refused)).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
            drained.join();
            assertThat(deployment.engine.started()).isEqualTo(1);
        }

        @Test
        void entryFinishesRunningRequestsAndRefusesNewOnes() {
            CompletableFuture<HttpResponse<String>> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            CompletableFuture<Void> drained = deployment.entry.drain();
            HttpResponse<String> refused = deployment.stream("q", 1).join();
            assertThat(outcome(refused)).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
            drained.join();
        }

        @Test
        void forcedDrainFailsOpenRequestsExplicitly() {
            CompletableFuture<HttpResponse<String>> booking = deployment.book("{}", "");
            deployment.await(() -> deployment.service.ledger().size() == 1);
            CompletableFuture<Void> drained = deployment.entry.drain();
            deployment.entry.forceDrain();
            assertThat(outcome(booking.join())).isEqualTo("unknown");
            assertThatThrownBy(drained::join).hasMessageContaining("FW-4004");
        }

        @Test
        void leavingRowFinishesRunningAttemptsAndAdmitsNoNewOnes() {
            CompletableFuture<HttpResponse<String>> running = deployment.stream("p", 100);
            deployment.await(() -> deployment.engine.running() == 1);
            deployment.publishTable(RowState.LEAVING);
            assertThat(outcome(deployment.stream("q", 1).join())).isEqualTo("not-run");
            assertCompleteStream(running.join(), "p", 100);
        }
    }

    private static void assertCompleteStream(HttpResponse<String> response, String prompt, int tokens) {
        assertThat(text(response.body())).isEqualTo(String.join("", ExpectedResponse.tokens("model", prompt, tokens)));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    private static String text(String events) {
        StringBuilder text = new StringBuilder();
        Matcher matcher = TEXT.matcher(events);
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return text.toString();
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Firwheel-Outcome").orElse("absent");
    }
}
