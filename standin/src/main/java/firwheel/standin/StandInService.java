package firwheel.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates a plain HTTP service. Every request other than GET is appended to a ledger, which {@code GET /ledger}
 * returns so that lost and repeated executions can be detected. The response depends on the request alone.
 */
public final class StandInService {
    private static final int INTERNAL_ERROR = 500;

    private final Vertx vertx;
    private final Duration delay;
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<LedgerEntry> ledger = new ArrayList<>();

    /**
     * An executed request.
     *
     * @param path path of the request
     * @param idempotencyKey value of its {@code Idempotency-Key} header, or empty
     * @param digest digest of the body
     */
    public record LedgerEntry(String path, String idempotencyKey, String digest) {}

    /** Body of a response. */
    private record Receipt(String path, String digest) {}

    /** Creates a service that responds to each request after {@code delay}. */
    public StandInService(Vertx vertx, Duration delay) {
        this.vertx = vertx;
        this.delay = delay;
    }

    /** Starts listening; port 0 selects a free port. */
    public CompletableFuture<HttpServer> listen(String ip, int port) {
        return EventLoops.deploy(vertx, () -> vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture());
    }

    /** Returns the requests executed so far. */
    public synchronized List<LedgerEntry> ledger() {
        return List.copyOf(ledger);
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            if (request.path().equals("/ledger")) {
                respond(request, ledger());
                return;
            }
            execute(request, body);
        });
    }

    private void execute(HttpServerRequest request, Buffer body) {
        String digest = ExpectedResponse.digest(body.getBytes());
        if (!request.method().equals(HttpMethod.GET)) {
            String key = request.getHeader("Idempotency-Key");
            append(new LedgerEntry(request.path(), key == null ? "" : key, digest));
        }
        Receipt receipt = new Receipt(request.path(), digest);
        if (delay.toMillis() < 1) {
            respond(request, receipt);
        } else {
            vertx.setTimer(delay.toMillis(), ignored -> respond(request, receipt));
        }
    }

    private synchronized void append(LedgerEntry entry) {
        ledger.add(entry);
    }

    private void respond(HttpServerRequest request, Object value) {
        try {
            request.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(mapper.writeValueAsBytes(value)));
        } catch (JsonProcessingException e) {
            request.response().setStatusCode(INTERNAL_ERROR).end();
        }
    }
}
