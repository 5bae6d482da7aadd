package firwheel.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.model.FirwheelException;
import firwheel.model.TimeSource;
import firwheel.store.Delay;
import firwheel.store.EventLoops;
import firwheel.store.HostList;
import firwheel.store.PlatformRequests;
import firwheel.store.TableService;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** Simulates the platform: serves a table service, an object store and a host list over its HTTP API. */
public final class StandInPlatform {
    private static final String FAULTS_PATH = "/v1/stand-in/faults";
    private static final String SET_HOSTS_PATH = "/v1/stand-in/hosts";
    private static final long FAULT_SEED = 1;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final FaultyTableService tables;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private volatile List<HostList.HostEntry> hosts = List.of();

    /**
     * Body of a request that sets the faults to inject into the table service.
     *
     * @param outage whether every call fails without effect
     * @param latencyMillis delay before a call takes effect, and again before its response
     * @param lostAnswerShare share of writes that take effect but whose response is lost
     * @param refusedShare share of calls that fail without effect
     */
    public record FaultRequest(boolean outage, long latencyMillis, double lostAnswerShare, double refusedShare) {}

    /** Creates a platform that stores its rows in {@code tables}. */
    public StandInPlatform(Vertx vertx, TableService tables) {
        this.vertx = vertx;
        this.tables = new FaultyTableService(tables, TimeSource.system(), Delay.system(), FAULT_SEED);
    }

    /** Replaces the host list. */
    public void setHosts(List<HostList.HostEntry> newHosts) {
        hosts = List.copyOf(newHosts);
    }

    /** Starts listening; port 0 selects a free port. */
    public CompletableFuture<HttpServer> listen(String ip, int port) {
        return EventLoops.deploy(vertx, () -> vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture());
    }

    private void handle(HttpServerRequest request, Buffer body) {
        try {
            switch (request.path()) {
                case PlatformRequests.READ_PATH ->
                    respond(
                            request,
                            tables.read(read(body, PlatformRequests.Read.class).keys()));
                case PlatformRequests.SCAN_PATH -> scan(request, read(body, PlatformRequests.Scan.class));
                case PlatformRequests.COMMIT_PATH ->
                    respond(request, tables.commit(read(body, firwheel.store.Transaction.class)));
                case PlatformRequests.HOSTS_PATH -> respond(request, CompletableFuture.completedFuture(hosts));
                case FAULTS_PATH -> {
                    setFaults(read(body, FaultRequest.class));
                    request.response().setStatusCode(NO_CONTENT).end();
                }
                case SET_HOSTS_PATH -> {
                    setHosts(List.of(read(body, HostList.HostEntry[].class)));
                    request.response().setStatusCode(NO_CONTENT).end();
                }
                default -> handleObject(request, body);
            }
        } catch (IOException e) {
            request.response().setStatusCode(BAD_REQUEST).end("malformed JSON in request body\n");
        }
    }

    private void setFaults(FaultRequest request) {
        tables.setFaults(new FaultyTableService.Faults(
                request.outage(),
                Duration.ofMillis(request.latencyMillis()),
                0,
                Duration.ZERO,
                request.lostAnswerShare(),
                request.refusedShare(),
                Integer.MAX_VALUE,
                Integer.MAX_VALUE));
    }

    private <T> T read(Buffer body, Class<T> type) throws IOException {
        return mapper.readValue(body.getBytes(), type);
    }

    private void scan(HttpServerRequest request, PlatformRequests.Scan scan) {
        respond(request, tables.scan(scan.prefix(), scan.afterKey(), scan.limit()));
    }

    private void handleObject(HttpServerRequest request, Buffer body) {
        if (!request.path().startsWith(PlatformRequests.OBJECTS_PATH)) {
            request.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        String name = request.path().substring(PlatformRequests.OBJECTS_PATH.length());
        if (request.method().name().equals("PUT")) {
            objects.put(name, body.getBytes());
            request.response().setStatusCode(NO_CONTENT).end();
            return;
        }
        byte[] content = objects.get(name);
        if (content == null) {
            request.response().setStatusCode(NOT_FOUND).end();
        } else {
            request.response().end(Buffer.buffer(content));
        }
    }

    private <T> void respond(HttpServerRequest request, CompletableFuture<T> result) {
        var unused = result.whenComplete((value, error) -> vertx.runOnContext(ignored -> {
            if (error == null) {
                writeJson(request, value);
            } else {
                respondWithError(request, FirwheelException.of(error));
            }
        }));
    }

    private void writeJson(HttpServerRequest request, @Nullable Object value) {
        try {
            request.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(mapper.writeValueAsBytes(value)));
        } catch (IOException e) {
            request.response().setStatusCode(UNAVAILABLE).end();
        }
    }

    private static void respondWithError(HttpServerRequest request, FirwheelException error) {
        switch (error.code()) {
            case PLATFORM_RATE_LIMITED -> request.response().setStatusCode(429).end();
            case PLATFORM_UNKNOWN -> request.connection().close();
            default -> request.response().setStatusCode(UNAVAILABLE).end();
        }
    }
}
