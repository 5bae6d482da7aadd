package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.standin.ExpectedResponse;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class DemoTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private Demo demo = startDemo();

    private static Demo startDemo() {
        return Demo.start(new Demo.Options(0, 0, 2, Duration.ofSeconds(5)));
    }

    @BeforeAll
    void checkEntries() {
        assertThat(demo.entryPorts()).hasSize(2);
    }

    @AfterAll
    void stop() {
        demo.close();
    }

    private HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + demo.entryPorts().get(0) + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the body of a stream; the client of the JDK fails responses with trailers, at least in 17.0.21. */
    private String postStream(String body) {
        Vertx vertx = Vertx.vertx();
        CompletableFuture<String> content = new CompletableFuture<>();
        // On an event loop, since the body of a response is lost if it is read after the response has ended.
        vertx.getOrCreateContext().runOnContext(ignored -> vertx.createHttpClient()
                .request(HttpMethod.POST, demo.entryPorts().get(0), "127.0.0.1", "/v1/completions")
                .compose(request -> request.send(body))
                .compose(HttpClientResponse::body)
                .onSuccess(received -> content.complete(received.toString()))
                .onFailure(content::completeExceptionally));
        try {
            return content.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("absent");
    }

    @Nested
    final class Completions {
        @Test
        void returnsTheCompleteResponse() throws Exception {
            HttpResponse<String> response =
                    post("/v1/completions", "{\"model\":\"demo-model\",\"prompt\":\"p\",\"max_tokens\":4}");

            JsonNode json = mapper.readTree(response.body());
            assertThat(json.at("/choices/0/text").asText())
                    .isEqualTo(String.join("", ExpectedResponse.tokens("demo-model", "p", 4)));
            assertThat(header(response, "Firwheel-Outcome")).isEqualTo("complete");
        }

        @Test
        void streamsEveryTokenInOrder() throws Exception {
            String body = postStream("{\"model\":\"demo-model\",\"prompt\":\"q\",\"max_tokens\":6,\"stream\":true}");

            StringBuilder text = new StringBuilder();
            for (String event : body.split("\n\n", -1)) {
                if (event.startsWith("data: {")) {
                    text.append(mapper.readTree(event.substring("data: ".length()))
                            .at("/choices/0/text")
                            .asText());
                }
            }
            assertThat(text.toString()).isEqualTo(String.join("", ExpectedResponse.tokens("demo-model", "q", 6)));
            assertThat(body).endsWith("data: [DONE]\n\n");
        }
    }

    @Nested
    final class Services {
        @Test
        void forwardsTheCall() throws Exception {
            HttpResponse<String> response = post("/services/order-desk/bookings", "{}");

            assertThat(mapper.readTree(response.body()).path("path").asText()).isEqualTo("/bookings");
        }
    }

    @Nested
    final class Rejections {
        @Test
        void rejectsAnUnknownModel() throws Exception {
            HttpResponse<String> response = post("/v1/completions", "{\"model\":\"none\",\"prompt\":\"p\"}");

            assertThat(response.statusCode()).isEqualTo(404);
            assertThat(header(response, "Firwheel-Outcome")).isEqualTo("not-run");
            assertThat(mapper.readTree(response.body()).at("/error/code").asText())
                    .isEqualTo("FW-1004");
        }

        @Test
        void rejectsMalformedJson() throws Exception {
            HttpResponse<String> response = post("/v1/completions", "{\"model\":");

            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(mapper.readTree(response.body()).at("/error/code").asText())
                    .isEqualTo("FW-1001");
        }
    }
}
