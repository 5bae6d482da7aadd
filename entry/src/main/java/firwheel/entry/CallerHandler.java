package firwheel.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import firwheel.model.FaultBoundary;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Handles the HTTP requests of callers: reads their bodies, validates them and passes them on for execution. */
final class CallerHandler {
    private static final int OK = 200;
    private static final Duration RETRY_AFTER_NO_TABLE = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final EntrySettings settings;
    private final Supplier<TableSnapshot> table;
    private final BiConsumer<CallerRequest, ResponseWriter> requestRunner;
    private final BooleanSupplier draining;
    private final EntryMetrics metrics;
    private final CallerRequestReader reader = new CallerRequestReader();
    private final ObjectMapper mapper = new ObjectMapper();

    CallerHandler(
            Vertx vertx,
            EntrySettings settings,
            Supplier<TableSnapshot> table,
            BiConsumer<CallerRequest, ResponseWriter> requestRunner,
            BooleanSupplier draining,
            EntryMetrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.table = table;
        this.requestRunner = requestRunner;
        this.draining = draining;
        this.metrics = metrics;
    }

    /** Handles one request; every request gets a response. */
    void handle(HttpServerRequest request) {
        String requestId = CallerRequestReader.requestId(request);
        ResponseWriter responseWriter = new ResponseWriter(request, requestId, metrics);
        FaultBoundary boundary = new FaultBoundary((step, fault) -> {
            responseWriter.logFault(step, fault);
            responseWriter.endAfterFault(
                    new FirwheelException(ResultCode.FAULT_NOT_RUN, ResultCode.FAULT_NOT_RUN.summary()));
        });
        boundary.run("handle request", () -> handle(request, requestId, responseWriter, boundary));
    }

    private void handle(
            HttpServerRequest request, String requestId, ResponseWriter responseWriter, FaultBoundary boundary) {
        String path = request.path() == null ? "" : request.path();
        if (path.equals("/v1/models")) {
            sendModels(request, responseWriter);
        } else if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
            requireMethod(
                    request,
                    responseWriter,
                    HttpMethod.POST,
                    () -> readBody(
                            request,
                            responseWriter,
                            boundary,
                            body -> parseAndRun(
                                    responseWriter, () -> reader.readCompletion(request, requestId, body))));
        } else if (path.startsWith(CallerRequestReader.SERVICES_PREFIX)) {
            readBody(
                    request,
                    responseWriter,
                    boundary,
                    body -> parseAndRun(responseWriter, () -> reader.readServiceCall(request, requestId, body)));
        } else {
            responseWriter.fail(new FirwheelException(ResultCode.UNKNOWN_PATH, "unknown path"));
        }
    }

    private void sendModels(HttpServerRequest request, ResponseWriter responseWriter) {
        requireMethod(request, responseWriter, HttpMethod.GET, () -> {
            ObjectNode root = mapper.createObjectNode().put("object", "list");
            ArrayNode data = root.putArray("data");
            table.get().rows().stream()
                    .filter(row -> row.kind() == TargetKind.MODEL)
                    .flatMap(row -> row.models().stream())
                    .distinct()
                    .sorted()
                    .forEach(model -> data.addObject().put("id", model).put("object", "model"));
            responseWriter.send(OK, "application/json", Buffer.buffer(root.toString()));
        });
    }

    private static void requireMethod(
            HttpServerRequest request, ResponseWriter responseWriter, HttpMethod method, Runnable action) {
        if (request.method().equals(method)) {
            action.run();
        } else {
            responseWriter.fail(
                    new FirwheelException(ResultCode.METHOD_NOT_ALLOWED, "the path supports only " + method.name()));
        }
    }

    private void readBody(
            HttpServerRequest request, ResponseWriter responseWriter, FaultBoundary boundary, Consumer<Buffer> onBody) {
        BodyReader.read(vertx, settings, request, responseWriter, boundary, onBody);
    }

    private void parseAndRun(ResponseWriter responseWriter, Supplier<CallerRequest> parser) {
        try {
            CallerRequest request = parser.get();
            checkServable(request);
            requestRunner.accept(request, responseWriter);
        } catch (FirwheelException e) {
            responseWriter.fail(e);
        }
    }

    private void checkServable(CallerRequest request) {
        if (draining.getAsBoolean()) {
            throw new FirwheelException(ResultCode.DRAINING, "this host is shutting down");
        }
        TableSnapshot snapshot = table.get();
        if (snapshot.revision() == 0) {
            throw new FirwheelException(
                    ResultCode.NO_TABLE, "the entry has not received a routing table yet", RETRY_AFTER_NO_TABLE);
        }
        boolean served = snapshot.rows().stream().anyMatch(row -> row.serves(request.kind(), request.servedName()));
        if (!served) {
            throw new FirwheelException(
                    request.kind() == TargetKind.MODEL ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE,
                    request.servedName());
        }
    }
}
