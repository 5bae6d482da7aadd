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

/** One request of a run, from sending to its verdict. */
final class LoadRequest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration GRACE = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final int MAX_CONNECTS = 4;

    private final Vertx vertx;
    private final Mix.Item item;
    private final String id;
    private final long dueNanos;
    private final TimeSource time;
    private final LoadTally tally;
    private final byte[] body;
    private final CompletionCheck check;
    private @Nullable Consumer<Verdict> onEnd;
    private @Nullable HttpClientRequest httpRequest;
    private long lastTokenNanos;
    private long timeoutTimer;

    LoadRequest(Vertx vertx, Mix.Item item, long serial, long seed, long dueNanos, TimeSource time, LoadTally tally) {
        this.vertx = vertx;
        this.item = item;
        this.id = Long.toHexString(seed) + "-" + serial;
        this.dueNanos = dueNanos;
        this.time = time;
        this.tally = tally;
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

    /** Returns the digest that the ledger will show, for calls to services. */
    Optional<String> bodyDigest() {
        return item.isCompletion() ? Optional.empty() : Optional.of(ExpectedResponse.digest(body));
    }

    /** Sends the request to the first entry that takes the connection; {@code end} is called once. */
    void send(HttpClient client, List<URI> entries, Duration deadline, Consumer<Verdict> end) {
        onEnd = end;
        timeoutTimer = vertx.setTimer(deadline.plus(GRACE).toMillis(), ignored -> finish(Verdict.LOST));
        connect(client, entries, deadline, 0);
    }

    /** Tries the entries in turn, as a balancer passes over hosts that take no connection. */
    private void connect(HttpClient client, List<URI> entries, Duration deadline, int tried) {
        URI entry = entries.get(tried);
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(entry.getHost())
                .setPort(entry.getPort())
                .setURI(item.isCompletion() ? "/v1/completions" : "/services/" + item.name() + "/bookings")
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Id", id)
                .putHeader("Firwheel-Organisation", item.organisation())
                .putHeader("Firwheel-Deadline-Millis", Long.toString(deadline.toMillis()));
        if (item.keyed()) {
            options.putHeader("Idempotency-Key", id);
        }
        client.request(options)
                .onSuccess(this::sendBody)
                .onFailure(error -> connectNext(client, entries, deadline, tried + 1));
    }

    private void connectNext(HttpClient client, List<URI> entries, Duration deadline, int tried) {
        if (tried < Math.min(MAX_CONNECTS, entries.size())) {
            connect(client, entries, deadline, tried);
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
        } else if (response.statusCode() == OK && item.isCompletion() && item.stream()) {
            readStream(response);
        } else {
            response.body().onSuccess(whole -> onWhole(response, whole)).onFailure(error -> finish(Verdict.ABORTED));
        }
    }

    private void readStream(HttpClientResponse response) {
        RecordParser events = RecordParser.newDelimited("\n\n", response);
        events.exceptionHandler(error -> finish(check.onBreak()));
        events.endHandler(ignored -> {
            Verdict verdict = check.onCleanEnd();
            boolean announced = "complete".equals(response.getTrailer("Firwheel-Outcome"));
            finish(verdict == Verdict.COMPLETE && !announced ? Verdict.CUT : verdict);
        });
        events.handler(event -> {
            if (check.onEvent(event.toString())) {
                onToken();
            }
        });
    }

    private void onToken() {
        long now = time.monotonicNanos();
        tally.token();
        if (lastTokenNanos == 0) {
            LoadTally.record(tally.firstToken, now - dueNanos);
        } else {
            LoadTally.record(tally.betweenTokens, now - lastTokenNanos);
        }
        lastTokenNanos = now;
    }

    private void onWhole(HttpClientResponse response, Buffer whole) {
        String outcome = response.getHeader("Firwheel-Outcome");
        switch (outcome == null ? "absent" : outcome.toLowerCase(Locale.ROOT)) {
            case "complete" -> finish(wholeVerdict(whole));
            case "not-run" -> finish(Verdict.NOT_RUN);
            case "unknown" -> finish(Verdict.UNKNOWN);
            case "failed" -> finish(Verdict.FAILED);
            default -> finish(Verdict.FOREIGN);
        }
    }

    private Verdict wholeVerdict(Buffer whole) {
        if (item.isCompletion()) {
            return check.onWhole(whole.toString());
        }
        String expected = "\"digest\":\"" + ExpectedResponse.digest(body) + "\"";
        return whole.toString().contains(expected) ? Verdict.COMPLETE : Verdict.FOREIGN;
    }

    private void finish(Verdict verdict) {
        Consumer<Verdict> end = onEnd;
        if (end == null) {
            return;
        }
        onEnd = null;
        vertx.cancelTimer(timeoutTimer);
        if (verdict == Verdict.COMPLETE) {
            LoadTally.record(tally.whole, time.monotonicNanos() - dueNanos);
        } else if (verdict == Verdict.LOST && httpRequest != null) {
            httpRequest.reset();
        }
        end.accept(verdict);
    }
}
