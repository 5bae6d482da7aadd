package firwheel.agent;

import firwheel.admin.AdminServer;
import firwheel.model.AttemptId;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.peers.ControlThread;
import firwheel.peers.DeferredTable;
import firwheel.peers.TableLinks;
import firwheel.platform.EventLoops;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.LoadMessage;
import firwheel.wire.Message;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetServer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process beside one target. It admits attempts, runs them on the target and reports load. All state is owned by
 * one event loop.
 */
public final class AgentServer {
    private static final int MAX_TARGET_CONNECTIONS = 1_024;
    private static final Logger logger = LoggerFactory.getLogger(AgentServer.class);

    private final Vertx vertx;
    private final Context context;
    private final AgentSettings settings;
    private final Supplier<TableSnapshot> table;
    private final long incarnation = new SplittableRandom().nextLong();
    private final Map<AttemptId, AttemptExecution> running = new HashMap<>();
    private final LoadReporter loads;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter dispatches = Counter.builder()
            .name("firwheel_agent_dispatches_total")
            .help("Attempts received, by what became of them")
            .labelNames("result")
            .register(registry);
    private final HttpClient targetClient;
    private @Nullable TableLinks tables;
    private @Nullable NetServer linkServer;
    private @Nullable HttpServer adminServer;
    private boolean draining;
    private @Nullable CompletableFuture<Void> drained;

    private AgentServer(Vertx vertx, AgentSettings settings, Supplier<TableSnapshot> table) {
        this.vertx = vertx;
        this.settings = settings;
        this.table = table;
        context = vertx.getOrCreateContext();
        loads = new LoadReporter(settings.row(), settings.rank(), TimeSource.system(), this::expectsOutput);
        targetClient = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000),
                new PoolOptions().setHttp1MaxSize(MAX_TARGET_CONNECTIONS));
    }

    /** Starts an agent; the future completes when it listens. */
    public static CompletableFuture<AgentServer> start(
            Vertx vertx, AgentSettings settings, Supplier<TableSnapshot> table) {
        return EventLoops.start(vertx, () -> {
            AgentServer agent = new AgentServer(vertx, settings, table);
            return agent.listen().thenApply(done -> agent);
        });
    }

    /** Starts an agent that learns the table from the entries that link to it. */
    public static CompletableFuture<AgentServer> start(Vertx vertx, AgentSettings settings) {
        return EventLoops.start(vertx, () -> {
            DeferredTable table = new DeferredTable();
            AgentServer agent = new AgentServer(vertx, settings, table);
            LinkEndpoint endpoint = agent.endpoint();
            TableLinks tables = new TableLinks(
                    agent.context,
                    endpoint,
                    ControlThread.start(),
                    TableLinks.Sources.ofAgent(settings.peers()),
                    endpoint::connect,
                    new Random());
            table.set(tables);
            agent.tables = tables;
            tables.start();
            return agent.listen().thenApply(done -> agent);
        });
    }

    /** Returns the TCP port of the links. */
    public int port() {
        return linkServer == null ? settings.port() : linkServer.actualPort();
    }

    /** Returns the port of metrics, health and status. */
    public int adminPort() {
        return adminServer == null ? settings.adminPort() : adminServer.actualPort();
    }

    /** Refuses new work; the future completes when running work has ended or the drain limit has passed. */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            Events.log(logger, EventCode.PROCESS_DRAINING, "row", settings.row(), "running", running.size());
            draining = true;
            drained = done;
            vertx.setTimer(Math.max(1, settings.drainLimitMillis()), timer -> cutRemaining());
            completeDrain();
        });
        return done;
    }

    private LinkEndpoint endpoint() {
        LinkIdentity identity = new LinkIdentity(
                settings.ip() + ":" + settings.port(), settings.availabilityZone(), "agent", incarnation);
        return new LinkEndpoint(vertx, settings.linkSecurity(), identity);
    }

    private CompletableFuture<?> listen() {
        AdminServer admin = new AdminServer(registry, this::ready, this::status);
        return endpoint()
                .listen(settings.ip(), settings.port(), this::onLink)
                .thenCompose(server -> {
                    linkServer = server;
                    vertx.setPeriodic(LoadReporter.INTERVAL_MILLIS, timer -> loads.reportToAll());
                    return admin.listen(vertx, settings.ip(), settings.adminPort());
                })
                .thenAccept(server -> {
                    adminServer = server;
                    Events.log(logger, EventCode.PROCESS_STARTED, "role", "agent", "row", settings.row());
                });
    }

    private boolean expectsOutput() {
        return running.values().stream().anyMatch(AttemptExecution::expectsOutput);
    }

    private boolean ready() {
        return !draining && table.get().revision() > 0;
    }

    private AgentStatus status() {
        return new AgentStatus(
                "agent",
                settings.availabilityZone(),
                settings.row(),
                settings.rank(),
                table.get().revision(),
                running.size(),
                draining);
    }

    private void onLink(Link link) {
        link.onMessage(message -> onMessage(link, message));
        TableLinks carried = tables;
        if (carried != null) {
            carried.attach(link);
            link.onClose(() -> carried.detach(link));
        }
    }

    private void onMessage(Link link, Message message) {
        if (message instanceof AttemptMessage.Dispatch dispatch) {
            onDispatch(link, dispatch);
        } else if (message instanceof AttemptMessage.Credit credit) {
            AttemptExecution execution = running.get(credit.attempt());
            if (execution != null) {
                execution.addCredits(credit.chunks());
            }
        } else if (message instanceof AttemptMessage.Cancel cancel) {
            AttemptExecution execution = running.get(cancel.attempt());
            if (execution != null) {
                execution.cancel();
            }
        } else if (message instanceof LoadMessage.Probe probe) {
            link.send(loads.report(probe.probeId()));
        } else if (tables != null) {
            tables.handle(link, message);
        }
    }

    private void onDispatch(Link link, AttemptMessage.Dispatch dispatch) {
        Optional<TargetRow> row = table.get().row(settings.row());
        ResultCode refusal = refusal(dispatch, row);
        if (refusal != null) {
            dispatches.labelValues(refusal.label()).inc();
            link.send(new AttemptMessage.Refused(dispatch.attempt(), refusal.number(), 0, refusal.summary()));
            return;
        }
        dispatches.labelValues("admitted").inc();
        boolean model = row.orElseThrow().kind() == TargetKind.MODEL;
        AttemptExecution execution = new AttemptExecution(
                vertx, dispatch, model, message -> loads.send(link, message), () -> onOver(dispatch.attempt()));
        running.put(dispatch.attempt(), execution);
        loads.onAdmitted(link, dispatch);
        execution.start(targetClient, settings.targetIp(), settings.targetPort());
    }

    private @Nullable ResultCode refusal(AttemptMessage.Dispatch dispatch, Optional<TargetRow> row) {
        if (draining) {
            return ResultCode.DRAINING;
        }
        if (dispatch.agentIncarnation() != incarnation) {
            return ResultCode.WRONG_INCARNATION;
        }
        if (dispatch.remainingMillis() <= 0) {
            return ResultCode.DEADLINE_TOO_SHORT;
        }
        if (row.isEmpty() || row.get().state() != RowState.SERVING) {
            return ResultCode.ROW_NOT_SERVING;
        }
        return running.size() >= row.get().maxInFlight() ? ResultCode.SATURATED : null;
    }

    private void onOver(AttemptId attempt) {
        running.remove(attempt);
        loads.onOver(attempt);
        completeDrain();
    }

    private void completeDrain() {
        if (draining && running.isEmpty() && drained != null) {
            drained.complete(null);
        }
    }

    private void cutRemaining() {
        if (!running.isEmpty()) {
            Events.log(logger, EventCode.DRAIN_CUT, "running", running.size());
        }
        Map.copyOf(running).values().forEach(execution -> execution.fail(ResultCode.DRAIN_LIMIT, "the agent stopped"));
    }
}
