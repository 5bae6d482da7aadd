package firwheel.agent;

import firwheel.admin.AdminServer;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TimeSource;
import firwheel.peers.ControlThread;
import firwheel.peers.DeferredTableSource;
import firwheel.peers.TableSynchronizer;
import firwheel.store.EventLoops;
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
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Server of the agent process, which runs next to one target. It admits attempts, forwards them to the target and
 * reports the target's load to the entries. All state is confined to one event loop.
 */
public final class AgentServer {
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long CLOCK_INTERVAL_MILLIS = 1_000;
    /**
     * Minimum duration of a drain. Meanwhile new attempts are refused explicitly, so that entries learn of the drain
     * before their links close.
     */
    private static final long LINGER_MILLIS = 1_500;

    private static final long FLUSH_DELAY_MILLIS = 200;
    private static final int MAX_TARGET_CONNECTIONS = 1_024;
    private static final Logger logger = LoggerFactory.getLogger(AgentServer.class);

    private final Vertx vertx;
    private final Context context;
    private final AgentSettings settings;
    private final Supplier<TableSnapshot> table;
    private final long incarnation = new SplittableRandom().nextLong();
    private final TimeSource time = TimeSource.system();
    private final AttemptHandler attemptHandler;
    private final LoadReporter loadReporter;
    private final Set<Link> links = new HashSet<>();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter dispatchCounter = Counter.builder()
            .name("firwheel_agent_dispatches_total")
            .help("Attempts received, by what became of them")
            .labelNames("result")
            .register(registry);
    private final HttpClient targetClient;
    private @Nullable TableSynchronizer tableSynchronizer;
    private @Nullable NetServer linkServer;
    private @Nullable HttpServer adminServer;
    private boolean draining;
    private boolean lingerElapsed;
    private boolean attemptsAborted;
    private @Nullable CompletableFuture<Void> drainFuture;

    private AgentServer(Vertx vertx, AgentSettings settings, Supplier<TableSnapshot> table) {
        this.vertx = vertx;
        this.settings = settings;
        this.table = table;
        context = vertx.getOrCreateContext();
        attemptHandler = new AttemptHandler(
                settings,
                incarnation,
                table,
                time,
                this::execute,
                result -> dispatchCounter.labelValues(result).inc(),
                this::beforeChunk);
        loadReporter = new LoadReporter(
                settings.row(), settings.rank(), time, attemptHandler::currentLoad, attemptHandler::isAwaitingOutput);
        targetClient = AttemptExecution.newClient(vertx, MAX_TARGET_CONNECTIONS);
    }

    /** Starts an agent with the given table; the future completes once the agent is listening. */
    public static CompletableFuture<AgentServer> start(
            Vertx vertx, AgentSettings settings, Supplier<TableSnapshot> table) {
        return EventLoops.deploy(vertx, () -> {
            AgentServer agentServer = new AgentServer(vertx, settings, table);
            return agentServer.listen().thenApply(done -> agentServer);
        });
    }

    /** Starts an agent that receives the table from the entries over their links. */
    public static CompletableFuture<AgentServer> start(Vertx vertx, AgentSettings settings) {
        return EventLoops.deploy(vertx, () -> {
            DeferredTableSource table = new DeferredTableSource();
            AgentServer agentServer = new AgentServer(vertx, settings, table);
            LinkEndpoint endpoint = agentServer.createEndpoint();
            TableSynchronizer tableSynchronizer = new TableSynchronizer(
                    agentServer.context,
                    endpoint,
                    ControlThread.newExecutor(),
                    TableSynchronizer.Sources.forAgent(settings.peers()),
                    endpoint::connect,
                    new Random());
            table.setDelegate(tableSynchronizer);
            agentServer.tableSynchronizer = tableSynchronizer;
            tableSynchronizer.start();
            return agentServer.listen().thenApply(done -> agentServer);
        });
    }

    /** Returns the TCP port on which links are accepted. */
    public int port() {
        return linkServer == null ? settings.port() : linkServer.actualPort();
    }

    /** Returns the HTTP port for metrics, health and status. */
    public int adminPort() {
        return adminServer == null ? settings.adminPort() : adminServer.actualPort();
    }

    /**
     * Refuses new attempts. The future completes when all open attempts have ended; it fails with {@code FW-4004} if
     * any of them was aborted by the drain limit or by {@link #forceDrain}.
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            Events.log(
                    logger,
                    EventCode.PROCESS_DRAINING,
                    "row",
                    settings.row(),
                    "running",
                    attemptHandler.currentLoad().inFlight());
            draining = true;
            drainFuture = done;
            attemptHandler.drain();
            vertx.setTimer(Math.max(1, settings.drainLimitMillis()), timer -> failRemaining());
            vertx.setTimer(LINGER_MILLIS, timer -> {
                lingerElapsed = true;
                completeDrainIfIdle();
            });
        });
        return done;
    }

    /** Ends the drain immediately: attempts that are still running fail explicitly. */
    public void forceDrain() {
        context.runOnContext(ignored -> failRemaining());
    }

    private LinkEndpoint createEndpoint() {
        LinkIdentity identity = new LinkIdentity(
                settings.ip() + ":" + settings.port(), settings.availabilityZone(), "agent", incarnation);
        return new LinkEndpoint(vertx, settings.linkSecurity(), identity);
    }

    private CompletableFuture<?> listen() {
        AdminServer admin = new AdminServer(registry, this::isReady, this::status);
        return createEndpoint()
                .listen(settings.ip(), settings.port(), this::onLink)
                .thenCompose(server -> {
                    linkServer = server;
                    return admin.listen(vertx, settings.ip(), settings.adminPort());
                })
                .thenAccept(server -> {
                    adminServer = server;
                    vertx.setPeriodic(TICK_INTERVAL_MILLIS, timer -> tick());
                    vertx.setPeriodic(CLOCK_INTERVAL_MILLIS, timer -> sendClock());
                    vertx.setPeriodic(
                            LoadReporter.INTERVAL_MILLIS,
                            timer -> loadReporter.sendReports(attemptHandler.linksWithOpenAttempts()));
                    Events.log(logger, EventCode.PROCESS_STARTED, "role", "agent", "row", settings.row());
                });
    }

    private boolean isReady() {
        return !draining && table.get().revision() > 0;
    }

    private AgentStatus status() {
        return new AgentStatus(
                "agent",
                settings.availabilityZone(),
                settings.row(),
                settings.rank(),
                table.get().revision(),
                attemptHandler.currentLoad().inFlight(),
                draining);
    }

    private void onLink(Link link) {
        links.add(link);
        link.onMessage(message -> onMessage(link, message));
        TableSynchronizer synchronizer = tableSynchronizer;
        if (synchronizer != null) {
            synchronizer.addLink(link);
        }
        link.onClose(() -> onLinkClosed(link, synchronizer));
        link.send(new LoadMessage.ClockReading(time.monotonicMillis()));
    }

    private void onLinkClosed(Link link, @Nullable TableSynchronizer synchronizer) {
        links.remove(link);
        loadReporter.removeLink(link);
        attemptHandler.onLinkClosed(link);
        if (synchronizer != null) {
            synchronizer.removeLink(link);
        }
    }

    private void onMessage(Link link, Message message) {
        if (message instanceof AttemptMessage attemptMessage) {
            attemptHandler.onMessage(link, attemptMessage);
            completeDrainIfIdle();
        } else if (message instanceof LoadMessage.Probe probe) {
            link.send(loadReporter.report(probe.probeId()));
        } else if (tableSynchronizer != null) {
            tableSynchronizer.handle(link, message);
        }
    }

    private void beforeChunk(Link link) {
        loadReporter.beforeChunk(link);
    }

    private AttemptExecution execute(
            AttemptMessage.Dispatch dispatch,
            boolean modelTarget,
            AttemptStream stream,
            Consumer<@Nullable ResultCode> onCompleted) {
        AttemptExecution execution = new AttemptExecution(vertx, dispatch, modelTarget, stream, onCompleted);
        long remainingMillis = dispatch.deadlineMillis() - time.monotonicMillis();
        execution.start(targetClient, settings.targetIp(), settings.targetPort(), remainingMillis);
        return execution;
    }

    private void tick() {
        attemptHandler.tick();
        completeDrainIfIdle();
    }

    private void sendClock() {
        LoadMessage.ClockReading clock = new LoadMessage.ClockReading(time.monotonicMillis());
        links.forEach(link -> link.send(clock));
    }

    private void completeDrainIfIdle() {
        if (draining && lingerElapsed && drainFuture != null && attemptHandler.isIdle()) {
            if (attemptsAborted) {
                drainFuture.completeExceptionally(
                        new FirwheelException(ResultCode.DRAIN_LIMIT, "attempts were aborted by the shutdown"));
            } else {
                drainFuture.complete(null);
            }
        }
    }

    /** Fails all running attempts, and ends the drain after a delay in which the failure messages are flushed. */
    private void failRemaining() {
        lingerElapsed = true;
        if (!attemptHandler.isIdle()) {
            Events.log(
                    logger,
                    EventCode.DRAIN_CUT,
                    "running",
                    attemptHandler.currentLoad().inFlight());
            attemptsAborted = true;
            attemptHandler.failRemaining();
        }
        vertx.setTimer(FLUSH_DELAY_MILLIS, ignored -> completeDrainIfIdle());
    }
}
