package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FaultBoundary;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import firwheel.proxy.balance.GroupStates;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.balance.StatedLimits;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.config.ClientLimits;
import firwheel.proxy.config.EngineConfig;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.config.ServiceConfig;
import firwheel.proxy.crash.CrashDetector;
import firwheel.proxy.crash.CrashReport;
import firwheel.proxy.crash.PartReport;
import firwheel.proxy.crash.SurvivalCheck;
import firwheel.proxy.memory.CollectedBytes;
import firwheel.proxy.memory.HeldBytes;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts client requests and forwards them directly to targets. Confined to one event loop, on which all methods must
 * be called.
 */
public final class ProxyServer {
    private static final int MAX_HEADER_BYTES = 64 * 1024; // of any configuration
    private static final int INITIAL_MAX_HEADER_BYTES = 16 * 1024; // until a configuration is known
    private static final Duration INITIAL_HEADER_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024; // longer paths are not in use
    private static final long MAINTENANCE_INTERVAL_MILLIS = 250; // a quarter of the shortest idle timeout in use
    private static final Duration DRAIN_GRACE_PERIOD =
            Duration.ofMillis(2_500); // the load balancer in front notices within 2 s
    private static final int CONTENT_TOO_LARGE = 413;
    private static final Logger logger = LoggerFactory.getLogger(ProxyServer.class);

    private final Vertx vertx;
    private final ProxyState state;
    private final Set<RequestHandler> activeRequests = new HashSet<>();
    private final Map<HttpConnection, ClientConnection> clientConnections = new HashMap<>();
    private final RequestHeadCheck headCheck;
    private final FaultBoundary boundary = FaultBoundary.ofProcess();
    private @Nullable CompletableFuture<Void> drainFuture;
    private boolean gracePeriodEnded;
    private boolean drainLimitPassed;

    /** Is notified of what targets state of themselves in their responses. */
    @FunctionalInterface
    public interface StatementListener {
        /**
         * Called when a statement differs from what was known.
         *
         * @param leaving whether the target leaves; if not, the statement is about the limit
         * @param requestsPerSecond limit of all entries together, or {@link StatedLimits#NONE}
         */
        void onStatement(Target target, boolean leaving, double requestsPerSecond);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param heldBytes account for what the server keeps for callers and targets
     */
    public ProxyServer(
            Vertx vertx,
            TimeSource time,
            ProxyProtocol protocol,
            String localZone,
            HeldBytes heldBytes,
            DoubleSupplier random,
            Supplier<RetryBudget> retryBudgetFactory) {
        this.vertx = vertx;
        headCheck = new RequestHeadCheck(protocol.singleRequestHeaders());
        TargetConnectionPool connections = new TargetConnectionPool(vertx, time, protocol);
        TargetDirectory directory = new TargetDirectory(new TargetDirectory.Listener() {
            @Override
            public void onRetired(Target target) {
                connections.closeIdleConnections(target);
                onTargetRetired(target);
            }

            @Override
            public void onRegistered(Target target) {
                onTargetRegistered(target);
            }
        });
        TargetSelector targetSelector = new TargetSelector(directory, localZone, time, random);
        state = new ProxyState(
                vertx,
                time,
                protocol,
                directory,
                targetSelector,
                connections,
                new ProxyMetrics(),
                heldBytes,
                random,
                retryBudgetFactory);
        state.metrics.register(connections, directory, heldBytes, state.crashGuard, state.partGuard);
        vertx.setPeriodic(MAINTENANCE_INTERVAL_MILLIS, id -> runMaintenance());
    }

    /** Starts listening for clients. */
    public CompletableFuture<HttpServer> listen(String ip, int port) {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
        return vertx.createHttpServer(options)
                .connectionHandler(connection -> onConnection(connection, options))
                .requestHandler(this::onRequest)
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Activates a configuration unless it is older than the active one. */
    public void applyConfig(RoutingConfig config, String source) {
        if (state.applyConfig(config)) {
            state.metrics.setConfigVersion(config.version());
            Events.log(logger, EventCode.TABLE_IN_FORCE, "version", config.version(), "source", source);
        }
    }

    /** Returns the directory of targets. */
    public TargetDirectory directory() {
        return state.directory;
    }

    /** Returns the metrics of this server. */
    public ProxyMetrics metrics() {
        return state.metrics;
    }

    /** Records a load report of a target. */
    public void onTargetLoad(String ip, int port, long startedMillis, int requests, double slowdown) {
        Target target = state.directory.findByAddress(ip, port);
        if (target != null && target.startedMillis() == startedMillis) {
            state.targetSelector.load(target).onReport(state.time.monotonicNanos(), requests, slowdown);
        }
    }

    /**
     * Records a report that a target is unreachable from the process that polls its group. Ignored if the address now
     * belongs to a target outside the group.
     */
    public void onTargetUnreachable(String group, String ip, int port) {
        Target target = state.directory.findByAddress(ip, port);
        GroupMembership membership = target == null ? null : target.group();
        if (target != null && membership != null && membership.name().equals(group)) {
            state.targetSelector.load(target).onReportedUnreachable(state.time.monotonicNanos());
        }
    }

    /** Sets the listener for what targets newly state in their responses. */
    public void onTargetStatement(StatementListener listener) {
        state.setStatementListener(listener);
    }

    /** Records what a target stated in a response to another entry. */
    public void onPeerStatement(String ip, int port, long startedMillis, boolean leaving, double requestsPerSecond) {
        Target target = state.directory.findByAddress(ip, port);
        if (target != null && target.startedMillis() == startedMillis) {
            state.onPeerStatement(target, leaving, requestsPerSecond);
        }
    }

    /** Sets the receiver of what this entry newly knows of requests that crash their targets. */
    public void onCrashReports(Consumer<List<CrashReport>> reporter) {
        state.crashGuard.setReporter(reporter);
    }

    /** Sets which requests and parts of prompts that crash targets this entry may try again, by their keys. */
    public void setTrialOwner(Predicate<String> trialOwner) {
        state.crashGuard.setTrialOwner(trialOwner);
        state.partGuard.setTrialOwner(trialOwner);
    }

    /** Sets how it is found out that a target has survived a crash that it is suspected of. */
    public void setSurvivalCheck(SurvivalCheck survivalCheck) {
        state.crashGuard.setSurvivalCheck(survivalCheck);
    }

    /** Sets the receiver of what this entry newly knows of parts of prompts that crash targets. */
    public void onPartReports(Consumer<List<PartReport>> reporter) {
        state.partGuard.setReporter(reporter);
    }

    /** Returns up to {@code max} reports of parts of prompts to repeat to a peer, other ones each time. */
    public List<PartReport> nextPartReports(int max) {
        return state.partGuard.nextReports(max);
    }

    /** Records what another entry knows of parts of prompts that crash targets. */
    public void onPeerPartReports(List<PartReport> reports) {
        state.partGuard
                .onPeerReports(reports)
                .forEach(target -> state.crashGuard.onTargetEnded(target, CrashDetector.End.OBSERVED));
    }

    /** Returns up to {@code max} reports of crashes to repeat to a peer, other ones each time. */
    public List<CrashReport> nextCrashReports(int max) {
        return state.crashGuard.nextReports(max);
    }

    /** Records what another entry knows of a request that crashes its targets. */
    public void onPeerCrashReport(CrashReport report) {
        state.crashGuard.onPeerReport(report);
    }

    /** Records a report of the controller of a model group. */
    public void onGroupReading(GroupStates.Reading reading) {
        state.targetSelector.groups().onReport(reading);
    }

    /** Sets the number of entries that send to the same targets and share the retry budget. */
    public void setEntryCount(int entryCount) {
        state.setEntryCount(entryCount);
        state.targetSelector.setEntryCount(entryCount);
    }

    /** Sets the limits of the retry budgets. */
    public void setRetryLimits(double ratio, double allowance) {
        state.setRetryLimits(ratio, allowance);
    }

    /**
     * Returns whether new connections are accepted: a configuration and targets are known and the server is not
     * draining.
     */
    public boolean ready() {
        return state.config() != null && !state.directory.all().isEmpty() && !state.draining();
    }

    /**
     * Shuts down gracefully: serves new requests as long as the load balancer may still send connections, then accepts
     * no more, and completes once the last active request has ended. Requests that are still active after
     * {@code limit} are ended with an error response.
     */
    public CompletableFuture<Void> drain(Duration limit) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Events.log(
                logger,
                EventCode.PROCESS_DRAINING,
                "running",
                activeRequests.size(),
                "connections",
                clientConnections.size());
        state.startDraining();
        drainFuture = done;
        Duration halfOfLimit = limit.dividedBy(2);
        Duration gracePeriod = halfOfLimit.compareTo(DRAIN_GRACE_PERIOD) < 0 ? halfOfLimit : DRAIN_GRACE_PERIOD;
        vertx.setTimer(Math.max(1, gracePeriod.toMillis()), id -> {
            gracePeriodEnded = true;
            boundary.run("close idle connections", () -> closeIdleClients(0));
            completeDrain();
        });
        vertx.setTimer(Math.max(1, limit.toMillis()), id -> {
            drainLimitPassed = true;
            endActiveRequests();
            completeDrain();
        });
        return done;
    }

    /** Answers requests that do not end before the process does, so that their clients need not wait for its end. */
    public void endActiveRequests() {
        if (!activeRequests.isEmpty()) {
            Events.log(logger, EventCode.DRAIN_CUT, "running", activeRequests.size());
            List.copyOf(activeRequests)
                    .forEach(handler -> handler.boundary().run("drain limit", handler::onDrainLimit));
        }
    }

    private void onTargetRetired(Target target) {
        state.onTargetRetired(target);
    }

    private void onTargetRegistered(Target target) {
        state.onTargetRegistered(target);
    }

    private void onConnection(HttpConnection connection, HttpServerOptions options) {
        if (!boundary.run("accept connection", () -> accept(connection, options))) {
            var unused = connection.close();
        }
    }

    private void accept(HttpConnection connection, HttpServerOptions options) {
        if (gracePeriodEnded) {
            // Nothing was read, so the client can safely send the request to another entry.
            var unused = connection.close();
            return;
        }
        ClientInput input = new ClientInput(
                state.heldBytes, this::maxHeaderBytes, boundary.wrap("memory full", () -> closeAtOnce(connection)));
        StrictRequestDecoder decoder = StrictRequestDecoder.install(connection, options, input, state.time);
        ClientConnection client = new ClientConnection(vertx, connection, input, decoder, state.time.monotonicNanos());
        clientConnections.put(connection, client);
        connection.closeHandler(ignored -> {
            clientConnections.remove(connection);
            client.onClosed();
            completeDrain();
        });
    }

    private static void closeAtOnce(HttpConnection connection) {
        var unused = ((HttpServerConnection) connection)
                .channelHandlerContext()
                .channel()
                .close();
    }

    private int maxHeaderBytes() {
        RoutingConfig config = state.config();
        return config == null ? INITIAL_MAX_HEADER_BYTES : config.limits().maxHeaderBytes();
    }

    private void onRequest(HttpServerRequest request) {
        if (!boundary.run("accept request", () -> accept(request))) {
            var unused = request.connection().close();
        }
    }

    private void accept(HttpServerRequest request) {
        ClientConnection client = clientConnections.get(request.connection());
        if (client == null || !client.takesRequests()) {
            return; // the connection is closed or being closed
        }
        String violation = headCheck.violation(request);
        if (violation != null) {
            client.onLastResponse(); // what follows may be no request
        }
        client.onRequest();
        RequestHandler handler = new RequestHandler(
                state,
                request,
                client,
                state.protocol.readRequestMetadata(request),
                endedHandler -> onRequestEnd(endedHandler, client));
        activeRequests.add(handler);
        state.metrics.setInFlight(activeRequests.size());
        handler.boundary().run("receive request", () -> receive(request, handler, violation));
    }

    private void receive(HttpServerRequest request, RequestHandler handler, @Nullable String violation) {
        Runnable disconnected = handler.boundary().wrap("client disconnected", handler::onClientDisconnected);
        request.response().closeHandler(ignored -> disconnected.run());
        request.response().exceptionHandler(error -> disconnected.run());
        request.exceptionHandler(error -> disconnected.run());
        if (gracePeriodEnded) {
            rejectDraining(handler);
        } else {
            readBody(request, handler, violation);
        }
    }

    private static void rejectDraining(RequestHandler handler) {
        handler.reject(ErrorResponse.of(
                ResultCode.DRAINING, "request was complete after the drain grace period", Duration.ZERO));
    }

    private void readBody(HttpServerRequest request, RequestHandler handler, @Nullable String violation) {
        RoutingConfig config = state.config();
        ClientLimits limits = config == null ? null : config.limits();
        request.handler(bytes ->
                handler.boundary().run("receive body", () -> receiveBody(request, handler, violation, limits, bytes)));
        request.endHandler(ignored -> handler.boundary().run("start", () -> {
            if (violation != null) {
                handler.rejectMalformed(violation);
            } else if (gracePeriodEnded) {
                rejectDraining(handler);
            } else {
                handler.start();
            }
        }));
    }

    private static void receiveBody(
            HttpServerRequest request,
            RequestHandler handler,
            @Nullable String violation,
            @Nullable ClientLimits limits,
            Buffer bytes) {
        CollectedBytes body = handler.body();
        if (limits != null && body.length() + bytes.length() > limits.maxBodyBytes()) {
            body.release();
            request.handler(null);
            request.endHandler(null);
            if (violation != null) {
                handler.rejectMalformed(violation);
                return;
            }
            handler.reject(new ErrorResponse(
                    ResultCode.BODY_TOO_LARGE,
                    CONTENT_TOO_LARGE,
                    "body exceeds " + limits.maxBodyBytes() + " bytes",
                    Duration.ZERO));
            return;
        }
        if (!body.append(bytes)) {
            request.handler(null);
            request.endHandler(null);
        }
    }

    private void onRequestEnd(RequestHandler handler, ClientConnection client) {
        activeRequests.remove(handler);
        client.onRequestEnd();
        boundary.run("connection idle", () -> client.setIdleSince(state.time.monotonicNanos()));
        state.metrics.setInFlight(activeRequests.size());
        completeDrain();
    }

    private void completeDrain() {
        CompletableFuture<Void> pendingDrain = drainFuture;
        if (pendingDrain == null || !gracePeriodEnded || !activeRequests.isEmpty()) {
            return;
        }
        if (drainLimitPassed || clientConnections.values().stream().noneMatch(ClientConnection::isLingering)) {
            pendingDrain.complete(null);
        }
    }

    private void runMaintenance() {
        boundary.run("close expired connections", state.connections::closeExpired);
        boundary.run("remove retired targets", state.targetSelector::removeRetired);
        boundary.run("remove refuted crashes", state.crashGuard::removeSurvived);
        boundary.run("remove expired crashes", state.crashGuard::removeExpired);
        boundary.run("remove expired parts", state.partGuard::removeExpired);
        RoutingConfig config = state.config();
        boundary.run("close overdue heads", () -> closeOverdueHeads(config));
        if (config != null) {
            Duration idleTimeout = Duration.ofMillis(config.limits().idleTimeoutMillis());
            boundary.run("close idle connections", () -> closeIdleClients(idleTimeout.toNanos()));
            boundary.run("update fill limits", () -> updateFillLimits(config));
        }
        if (gracePeriodEnded) {
            boundary.run("close idle connections", () -> closeIdleClients(0));
        }
    }

    private void updateFillLimits(RoutingConfig config) {
        for (ServiceConfig service : config.services()) {
            EngineConfig engine = service.engine();
            if (engine != null) {
                state.targetSelector.updateFillLimit(service.name(), engine);
            }
        }
    }

    private void closeOverdueHeads(@Nullable RoutingConfig config) {
        long now = state.time.monotonicNanos();
        long timeoutNanos = config == null
                ? INITIAL_HEADER_TIMEOUT.toNanos()
                : Duration.ofMillis(config.limits().headerTimeoutMillis()).toNanos();
        List.copyOf(clientConnections.values()).stream()
                .filter(client -> client.isHeadOverdue(now, timeoutNanos))
                .forEach(ClientConnection::close);
    }

    private void closeIdleClients(long idleNanos) {
        long now = state.time.monotonicNanos();
        List.copyOf(clientConnections.values()).stream()
                .filter(client -> client.isIdle(now, idleNanos))
                .forEach(ClientConnection::close);
    }
}
