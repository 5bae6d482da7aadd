package firwheel.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import firwheel.model.TimeSource;
import firwheel.standin.ExpectedResponse;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** One request of a load run, from sending it to its verdict. */
final class LoadRequest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration RESPONSE_GRACE_PERIOD = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;
    private static final int MAX_CONNECT_ATTEMPTS = 4;

    private final Vertx vertx;
    private final RequestMix.Item item;
    private final String id;
    private final long scheduledNanos;
    private final TimeSource time;
    private final LoadStatistics statistics;
    private final byte[] body;
    private final CompletionCheck check;
    private @Nullable Consumer<Verdict> verdictCallback;
    private @Nullable HttpClientRequest httpRequest;
    private long lastTokenNanos;
    private long timeoutTimer;

    LoadRequest(
            Vertx vertx,
            RequestMix.Item item,
            long sequenceNumber,
            long seed,
            long scheduledNanos,
            TimeSource time,
            LoadStatistics statistics) {
        this.vertx = vertx;
        this.item = item;
        this.id = Long.toHexString(seed) + "-" + sequenceNumber;
        this.scheduledNanos = scheduledNanos;
        this.time = time;
        this.statistics = statistics;
        String prompt = id + " " + "x".repeat(Math.max(0, item.promptChars() - id.length() - 1));
        body = encode(prompt).getBytes(StandardCharsets.UTF_8);
        check = new CompletionCheck(item.name(), prompt, Math.max(1, item.maxTokens()));
    }

    private String encode(String prompt) {
        ObjectNode json = MAPPER.createObjectNode();
        if (item.isCompletion()) {
            json.put("model", item.name())
                    .put("prompt", prompt)
                    .put("max_tokens", item.maxTokens())
                    .put("stream", item.stream());
        } else {
            json.put("booking", prompt);
        }
        return json.toString();
    }

    /** Returns the digest under which a service records the body in its ledger; empty for completions. */
    Optional<String> bodyDigest() {
        return item.isCompletion() ? Optional.empty() : Optional.of(ExpectedResponse.digest(body));
    }

    /** Sends the request to the first entry that accepts a connection. {@code onVerdict} is called once. */
    void send(HttpClient client, List<URI> entries, Duration deadline, Consumer<Verdict> onVerdict) {
        verdictCallback = onVerdict;
        timeoutTimer = vertx.setTimer(deadline.plus(RESPONSE_GRACE_PERIOD).toMillis(), ignored -> finish(Verdict.LOST));
        connect(client, entries, deadline, 0);
    }

    /** Tries the entries in order, like a load balancer that skips hosts that accept no connection. */
    private void connect(HttpClient client, List<URI> entries, Duration deadline, int attempt) {
        URI entry = entries.get(attempt);
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(entry.getHost())
                .setPort(entry.getPort())
                .setURI(item.isCompletion() ? "/v1/completions" : "/services/" + item.name() + "/bookings")
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Id", id)
                .putHeader("Firwheel-Organisation", item.organisation())
                .putHeader("Firwheel-Deadline-Millis", Long.toString(deadline.toMillis()));
        if (item.withIdempotencyKey()) {
            options.putHeader("Idempotency-Key", id);
        }
        client.request(options)
                .onSuccess(this::sendBody)
                .onFailure(error -> connectToNextEntry(client, entries, deadline, attempt + 1));
    }

    private void connectToNextEntry(HttpClient client, List<URI> entries, Duration deadline, int attempt) {
        if (attempt < Math.min(MAX_CONNECT_ATTEMPTS, entries.size())) {
            connect(client, entries, deadline, attempt);
        } else {
            finish(Verdict.NOT_RUN);
        }
    }

    private void sendBody(HttpClientRequest request) {
        httpRequest = request;
        request.send(Buffer.buffer(body)).onSuccess(this::onResponse).onFailure(error -> finish(Verdict.ABORTED));
    }

    private void onResponse(HttpClientResponse response) {
        if (!id.equals(response.getHeader("X-Request-Id"))) {
            finish(Verdict.FOREIGN);
        } else if (response.statusCode() == HTTP_OK && item.isCompletion() && item.stream()) {
            readStream(response);
        } else {
            response.body()
                    .onSuccess(responseBody -> onBody(response, responseBody))
                    .onFailure(error -> finish(Verdict.ABORTED));
        }
    }

    private void readStream(HttpClientResponse response) {
        RecordParser events = RecordParser.newDelimited("\n\n", response);
        events.exceptionHandler(error -> finish(check.onConnectionLost()));
        events.endHandler(ignored -> {
            Verdict verdict = check.onStreamEnd();
            boolean outcomeComplete = "complete".equals(response.getTrailer("Firwheel-Outcome"));
            finish(verdict == Verdict.COMPLETE && !outcomeComplete ? Verdict.CUT : verdict);
        });
        events.handler(event -> {
            if (check.onEvent(event.toString())) {
                onToken();
            }
        });
    }

    private void onToken() {
        long now = time.monotonicNanos();
        statistics.recordToken();
        if (lastTokenNanos == 0) {
            LoadStatistics.recordLatency(statistics.timeToFirstToken, now - scheduledNanos);
        } else {
            LoadStatistics.recordLatency(statistics.interTokenLatency, now - lastTokenNanos);
        }
        lastTokenNanos = now;
    }

    private void onBody(HttpClientResponse response, Buffer responseBody) {
        String outcome = response.getHeader("Firwheel-Outcome");
        switch (outcome == null ? "absent" : outcome.toLowerCase(Locale.ROOT)) {
            case "complete" -> finish(verdictForBody(responseBody));
            case "not-run" -> finish(Verdict.NOT_RUN);
            case "unknown" -> finish(Verdict.UNKNOWN);
            case "failed" -> finish(Verdict.FAILED);
            default -> finish(Verdict.FOREIGN);
        }
    }

    private Verdict verdictForBody(Buffer responseBody) {
        if (item.isCompletion()) {
            return check.onBody(responseBody.toString());
        }
        String expected = "\"digest\":\"" + ExpectedResponse.digest(body) + "\"";
        return responseBody.toString().contains(expected) ? Verdict.COMPLETE : Verdict.FOREIGN;
    }

    private void finish(Verdict verdict) {
        Consumer<Verdict> callback = verdictCallback;
        if (callback == null) {
            return;
        }
        verdictCallback = null;
        vertx.cancelTimer(timeoutTimer);
        if (verdict == Verdict.COMPLETE) {
            LoadStatistics.recordLatency(statistics.endToEndLatency, time.monotonicNanos() - scheduledNanos);
        } else if (verdict == Verdict.LOST && httpRequest != null) {
            httpRequest.reset();
        }
        callback.accept(verdict);
    }
}
