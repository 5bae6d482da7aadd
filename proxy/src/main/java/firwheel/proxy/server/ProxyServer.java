package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import firwheel.proxy.balance.Placement;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.config.ClientLimits;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes requests from callers and forwards them straight to targets. One event loop carries all of it; every method is
 * called there.
 */
public final class ProxyServer {
    private static final int MAX_HEAD_BYTES = 64 * 1024; // bounds memory until a configuration states its own limit
    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024; // longer paths are not in use
    private static final long SWEEP_MILLIS = 250; // a quarter of the finest idle limit in use
    private static final Duration LINGER = Duration.ofMillis(2_500); // the balancer in front notices within 2 s
    private static final int CONTENT_TOO_LARGE = 413;
    private static final Logger logger = LoggerFactory.getLogger(ProxyServer.class);

    private final Vertx vertx;
    private final ProxyState state;
    private final Set<RequestRun> running = new HashSet<>();
    private final Map<HttpConnection, CallerConnection> callers = new HashMap<>();
    private @Nullable CompletableFuture<Void> drained;
    private boolean lingered;

    /** A caller's connection and the requests on it. */
    private static final class CallerConnection {
        private int open;
        private long idleSinceNanos;
    }

    /** Creates a server that does not listen yet. */
    public ProxyServer(
            Vertx vertx,
            TimeSource time,
            ProxyProtocol protocol,
            String ownZone,
            DoubleSupplier random,
            Supplier<RetryBudget> newBudget) {
        this.vertx = vertx;
        TargetConnections connections = new TargetConnections(vertx, time);
        TargetDirectory directory = new TargetDirectory(connections::closeIdle);
        Placement placement = new Placement(directory, ownZone, time, random);
        state = new ProxyState(
                vertx, time, protocol, directory, placement, connections, new ProxyMetrics(), random, newBudget);
        state.metrics.register(connections, directory);
        vertx.setPeriodic(SWEEP_MILLIS, id -> sweep());
    }

    /** Listens for callers. */
    public CompletableFuture<HttpServer> listen(String ip, int port) {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
        return vertx.createHttpServer(options)
                .connectionHandler(this::onConnection)
                .requestHandler(this::onRequest)
                .listen(port, ip)
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Puts a configuration in force unless it is not newer than the present one. */
    public void applyConfig(RoutingConfig config, String source) {
        if (state.adopt(config)) {
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

    /** Takes a report of a target's load. */
    public void onTargetLoad(String ip, int port, long startedMillis, int busy, double slowdown) {
        Target target = state.directory.findByAddress(ip, port);
        if (target != null && target.startedMillis() == startedMillis) {
            state.placement.load(target).onReport(state.time.monotonicNanos(), busy, slowdown);
        }
    }

    /**
     * Takes a report that a target cannot be reached from where its group is read. The address may have passed to a
     * target that is not of the group.
     */
    public void onTargetUnreachable(String group, String ip, int port) {
        Target target = state.directory.findByAddress(ip, port);
        GroupMembership membership = target == null ? null : target.group();
        if (target != null && membership != null && membership.name().equals(group)) {
            state.placement.load(target).onReportedUnreachable(state.time.monotonicNanos());
        }
    }

    /** Takes a report of whether a model group computes. */
    public void onGroupState(String group, boolean open) {
        state.placement.onGroupState(group, open);
    }

    /** Sets how many entries send to the same targets and share the budget for sending again. */
    public void setEntryCount(int entries) {
        state.setEntries(entries);
        state.placement.setEntries(entries);
    }

    /** Gives the budgets for sending again new limits. */
    public void setRetryLimits(double ratio, double allowance) {
        state.setRepeatLimits(ratio, allowance);
    }

    /** Returns whether new connections may come: a configuration is known, targets too, and no drain has begun. */
    public boolean ready() {
        return state.config() != null && !state.directory.all().isEmpty() && !state.draining();
    }

    /**
     * Stops in order: serves what comes while the balancer still sends connections, then takes no more, and completes
     * when the last running request has ended.
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Events.log(logger, EventCode.PROCESS_DRAINING, "running", running.size(), "connections", callers.size());
        state.startDraining();
        drained = done;
        vertx.setTimer(LINGER.toMillis(), id -> {
            lingered = true;
            closeIdleCallers(0);
            completeDrain();
        });
        return done;
    }

    private void onConnection(HttpConnection connection) {
        if (lingered) {
            // Nothing was read, so that the caller may send the same request to another entry.
            var unused = connection.close();
            return;
        }
        CallerConnection caller = new CallerConnection();
        caller.idleSinceNanos = state.time.monotonicNanos();
        callers.put(connection, caller);
        connection.closeHandler(ignored -> callers.remove(connection));
    }

    private void onRequest(HttpServerRequest request) {
        CallerConnection caller = callers.get(request.connection());
        if (caller != null) {
            caller.open++;
        }
        RequestRun run = new RequestRun(state, request, state.protocol.readRequestMetadata(request), ended -> {
            onAnswered(caller);
            onRunEnd(ended);
        });
        running.add(run);
        state.metrics.setInFlight(running.size());
        if (lingered) {
            run.refuse(Refusal.of(ResultCode.DRAINING, "arrived after the drain had begun", Duration.ZERO));
            return;
        }
        request.response().closeHandler(ignored -> run.onCallerGone());
        request.response().exceptionHandler(error -> run.onCallerGone());
        request.exceptionHandler(error -> run.onCallerGone());
        readBody(request, run);
    }

    private void readBody(HttpServerRequest request, RequestRun run) {
        RoutingConfig config = state.config();
        ClientLimits limits = config == null ? null : config.limits();
        Buffer body = Buffer.buffer();
        request.handler(bytes -> {
            if (limits != null && body.length() + bytes.length() > limits.maxBodyBytes()) {
                request.handler(null);
                request.endHandler(null);
                run.refuse(new Refusal(
                        ResultCode.BODY_TOO_LARGE,
                        CONTENT_TOO_LARGE,
                        "body exceeds " + limits.maxBodyBytes() + " bytes",
                        Duration.ZERO));
                return;
            }
            body.appendBuffer(bytes);
        });
        request.endHandler(ignored -> run.start(body));
    }

    private void onAnswered(@Nullable CallerConnection caller) {
        if (caller != null) {
            caller.open--;
            caller.idleSinceNanos = state.time.monotonicNanos();
        }
    }

    private void onRunEnd(RequestRun run) {
        running.remove(run);
        state.metrics.setInFlight(running.size());
        completeDrain();
    }

    private void completeDrain() {
        CompletableFuture<Void> waiting = drained;
        if (waiting != null && lingered && running.isEmpty()) {
            waiting.complete(null);
        }
    }

    private void sweep() {
        state.connections.closeExpired();
        state.placement.forgetDeparted();
        RoutingConfig config = state.config();
        if (config != null) {
            closeIdleCallers(
                    Duration.ofMillis(config.limits().idleTimeoutMillis()).toNanos());
        }
        if (lingered) {
            closeIdleCallers(0);
        }
    }

    private void closeIdleCallers(long idleNanos) {
        long now = state.time.monotonicNanos();
        for (Map.Entry<HttpConnection, CallerConnection> entry : List.copyOf(callers.entrySet())) {
            CallerConnection caller = entry.getValue();
            if (caller.open == 0 && now - caller.idleSinceNanos >= idleNanos) {
                var unused = entry.getKey().close();
            }
        }
    }
}
