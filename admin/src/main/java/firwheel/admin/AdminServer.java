package firwheel.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * HTTP server for {@code /metrics}, {@code /health/live}, {@code /health/ready} and {@code /status}. The readiness
 * check returns 503 while the process is draining or has no table.
 */
public final class AdminServer {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final PrometheusRegistry registry;
    private final BooleanSupplier ready;
    private final Supplier<?> status;
    private final ObjectMapper mapper = new ObjectMapper();

    /** Creates a server. {@code status} supplies the value that is serialised to JSON for {@code /status}. */
    public AdminServer(PrometheusRegistry registry, BooleanSupplier ready, Supplier<?> status) {
        this.registry = registry;
        this.ready = ready;
        this.status = status;
    }

    /** Starts listening. Port 0 selects a free port. */
    public CompletableFuture<HttpServer> listen(Vertx vertx, String ip, int port) {
        return vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/metrics" -> respond(request, OK, "text/plain; version=0.0.4", renderMetrics());
            case "/health/live" -> respond(request, OK, "text/plain", Buffer.buffer("live\n"));
            case "/health/ready" -> respondReadiness(request);
            case "/status" -> respondStatus(request);
            default -> respond(request, NOT_FOUND, "text/plain", Buffer.buffer("not found\n"));
        }
    }

    private void respondReadiness(HttpServerRequest request) {
        boolean isReady = ready.getAsBoolean();
        respond(request, isReady ? OK : UNAVAILABLE, "text/plain", Buffer.buffer(isReady ? "ready\n" : "not ready\n"));
    }

    private void respondStatus(HttpServerRequest request) {
        try {
            respond(request, OK, "application/json", Buffer.buffer(mapper.writeValueAsBytes(status.get())));
        } catch (JsonProcessingException e) {
            respond(request, INTERNAL_ERROR, "text/plain", Buffer.buffer("status cannot be written\n"));
        }
    }

    private Buffer renderMetrics() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Buffer.buffer(out.toByteArray());
    }

    private static void respond(HttpServerRequest request, int status, String contentType, Buffer body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", contentType)
                .end(body);
    }
}
