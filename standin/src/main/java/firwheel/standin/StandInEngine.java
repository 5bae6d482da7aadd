package firwheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates one model engine over HTTP. It generates the tokens of {@link ExpectedResponse} at a fixed pace. A request
 * that resumes an interrupted stream sets {@code continue_tokens} to the number of tokens already delivered; generation
 * starts after them.
 */
public final class StandInEngine {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final Duration firstTokenDelay;
    private final Duration tokenDelay;
    private final ObjectMapper mapper = new ObjectMapper();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();

    /** Creates an engine that waits for the given delays before the first token and after each token. */
    public StandInEngine(Vertx vertx, Duration firstTokenDelay, Duration tokenDelay) {
        this.vertx = vertx;
        this.firstTokenDelay = firstTokenDelay;
        this.tokenDelay = tokenDelay;
    }

    /** Starts listening; port 0 selects a free port. */
    public CompletableFuture<HttpServer> listen(String ip, int port) {
        return EventLoops.deploy(vertx, () -> vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture());
    }

    /** Returns the number of requests in progress. */
    public int running() {
        return running.get();
    }

    /** Returns the number of requests started since creation. */
    public long started() {
        return started.get();
    }

    /** Returns the number of requests whose connection was closed before the last token. */
    public long cancelled() {
        return cancelled.get();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/v1/chat/completions" -> request.body().onSuccess(body -> complete(request, body, true));
            case "/v1/completions" -> request.body().onSuccess(body -> complete(request, body, false));
            case "/load" -> request.response().end("{\"running\":" + running.get() + "}");
            default -> request.response().setStatusCode(NOT_FOUND).end();
        }
    }

    private void complete(HttpServerRequest request, Buffer body, boolean chat) {
        JsonNode json;
        try {
            json = mapper.readTree(body.getBytes());
        } catch (IOException e) {
            request.response()
                    .setStatusCode(BAD_REQUEST)
                    .end("{\"error\":{\"message\":\"malformed JSON in request body\"}}");
            return;
        }
        String model = json.path("model").asText();
        String prompt = ExpectedResponse.prompt(json);
        int maxTokens = json.path("max_tokens").asInt(ExpectedResponse.DEFAULT_MAX_TOKENS);
        List<String> tokens = ExpectedResponse.tokens(model, prompt, maxTokens);
        CompletionJson format = new CompletionJson(chat, model, ExpectedResponse.id(model, prompt));
        started.incrementAndGet();
        running.incrementAndGet();
        Completion completion = new Completion(
                request.response(), format, tokens, json.path("stream").asBoolean());
        completion.position = Math.min(json.path("continue_tokens").asInt(0), tokens.size());
        completion.start();
    }

    /** A completion in progress. */
    private final class Completion {
        private final HttpServerResponse response;
        private final CompletionJson format;
        private final List<String> tokens;
        private final boolean stream;
        private int position;
        private boolean ended;

        Completion(HttpServerResponse response, CompletionJson format, List<String> tokens, boolean stream) {
            this.response = response;
            this.format = format;
            this.tokens = tokens;
            this.stream = stream;
        }

        void start() {
            response.closeHandler(ignored -> onEnd());
            response.endHandler(ignored -> onEnd());
            if (stream) {
                response.setChunked(true).putHeader("Content-Type", "text/event-stream");
            } else {
                response.putHeader("Content-Type", "application/json");
            }
            schedule(firstTokenDelay, this::sendNextToken);
        }

        private void sendNextToken() {
            if (ended) {
                return;
            }
            if (position == tokens.size()) {
                finish();
                return;
            }
            String token = tokens.get(position++);
            if (stream) {
                response.write(format.event(token));
            }
            if (stream && response.writeQueueFull()) {
                response.drainHandler(ignored -> schedule(tokenDelay, this::sendNextToken));
            } else {
                schedule(tokenDelay, this::sendNextToken);
            }
        }

        private void finish() {
            response.end(stream ? "data: [DONE]\n\n" : format.fullResponse(tokens));
        }

        private void onEnd() {
            if (!ended) {
                ended = true;
                running.decrementAndGet();
                if (position < tokens.size()) {
                    cancelled.incrementAndGet();
                }
            }
        }

        private void schedule(Duration delay, Runnable action) {
            if (delay.toMillis() < 1) {
                vertx.runOnContext(ignored -> action.run());
            } else {
                vertx.setTimer(delay.toMillis(), ignored -> action.run());
            }
        }
    }
}
