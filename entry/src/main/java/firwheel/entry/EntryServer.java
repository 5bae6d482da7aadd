package firwheel.entry;

import firwheel.admin.AdminServer;
import firwheel.admission.ClaimService;
import firwheel.model.AttemptId;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.RankAddress;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TimeSource;
import firwheel.peers.ControlThread;
import firwheel.peers.DeferredTableSource;
import firwheel.peers.TableSynchronizer;
import firwheel.routing.RoutingPolicy;
import firwheel.store.EventLoops;
import firwheel.store.HttpPlatformClient;
import firwheel.store.TableService;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process that takes requests from callers. One event loop carries its traffic. */
public final class EntryServer {
    private static final long LINK_CHECK_MILLIS = 1_000;
    /** Time for which a draining process goes on refusing, so that peers learn of it before the connections close. */
    private static final long LINGER_MILLIS = 1_500;

    private static final long FLUSH_MILLIS = 500;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Logger logger = LoggerFactory.getLogger(EntryServer.class);

    private final Vertx vertx;
    private final Context context;
    private final EntrySettings settings;
    private final Supplier<TableSnapshot> table;
    private final Router router;
    private final TimeSource time = TimeSource.system();
    private final EntryMetrics metrics = new EntryMetrics();
    private final SecureRandom tokenRandom = new SecureRandom();
    private final SplittableRandom random = new SplittableRandom();
    private final long incarnation = random.nextLong();
    private final Set<RequestRun> running = new HashSet<>();
    private @Nullable RunContext runContext;
    private @Nullable AgentLinks links;
    private @Nullable HttpServer callerServer;
    private @Nullable HttpServer adminServer;
    private boolean draining;
    private boolean lingered;
    private int cutRequests;
    private @Nullable CompletableFuture<Void> drained;

    private EntryServer(Vertx vertx, EntrySettings settings, Supplier<TableSnapshot> table, RoutingPolicy policy) {
        this.vertx = vertx;
        this.settings = settings;
        this.table = table;
        router = new Router(policy, table, settings.availabilityZone(), time);
        context = vertx.getOrCreateContext();
    }

    /** Starts an entry; the future completes when it listens. */
    public static CompletableFuture<EntryServer> start(
            Vertx vertx, EntrySettings settings, Supplier<TableSnapshot> table, RoutingPolicy policy) {
        return EventLoops.deploy(vertx, () -> {
            EntryServer entry = new EntryServer(vertx, settings, table, policy);
            return entry.listen().thenApply(done -> entry);
        });
    }

    /** Starts an entry that keeps its table up to date by the platform and its peers. */
    public static CompletableFuture<EntryServer> start(
            Vertx vertx, EntrySettings settings, TableSynchronizer.Sources sources, RoutingPolicy policy) {
        return EventLoops.deploy(vertx, () -> {
            DeferredTableSource table = new DeferredTableSource();
            EntryServer entry = new EntryServer(vertx, settings, table, policy);
            return entry.listen().thenCompose(done -> entry.joinPeers(sources)).thenApply(tables -> {
                table.setDelegate(tables);
                return entry;
            });
        });
    }

    private CompletableFuture<TableSynchronizer> joinPeers(TableSynchronizer.Sources sources) {
        AgentLinks agentLinks = links();
        TableSynchronizer tables = new TableSynchronizer(
                context,
                agentLinks.endpoint(),
                ControlThread.newExecutor(),
                sources,
                (ip, port) -> agentLinks.link(new RankAddress(0, ip, port)),
                new Random());
        agentLinks.carryTables(tables);
        tables.start();
        return settings.linkPort() == 0
                ? CompletableFuture.completedFuture(tables)
                : agentLinks
                        .endpoint()
                        .listen(settings.ip(), settings.linkPort(), tables::addTableLink)
                        .thenApply(server -> tables);
    }

    /** Returns the port for callers. */
    public int port() {
        return callerServer == null ? settings.port() : callerServer.actualPort();
    }

    /** Returns the port of metrics, health and status. */
    public int adminPort() {
        return adminServer == null ? settings.adminPort() : adminServer.actualPort();
    }

    /**
     * Refuses new requests; the future completes when running ones have ended, and fails with {@code FW-4004} when some
     * were cut.
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            Events.log(logger, EventCode.PROCESS_DRAINING, "role", "entry", "running", running.size());
            draining = true;
            drained = done;
            vertx.setTimer(Math.max(1, settings.drainLimitMillis()), timer -> cutRemaining());
            vertx.setTimer(LINGER_MILLIS, timer -> {
                lingered = true;
                completeDrain();
            });
        });
        return done;
    }

    /** Ends the drain at once: what still runs gets an explicit failure. */
    public void forceDrain() {
        context.runOnContext(ignored -> cutRemaining());
    }

    private CompletableFuture<?> listen() {
        LinkIdentity identity =
                new LinkIdentity(settings.ip() + ":" + linkPort(), settings.availabilityZone(), "entry", incarnation);
        LinkEndpoint endpoint = new LinkEndpoint(vertx, settings.linkSecurity(), identity);
        AgentLinks agentLinks = new AgentLinks(endpoint, time, router::onReport, metrics::countForeignFrame);
        links = agentLinks;
        vertx.setPeriodic(LINK_CHECK_MILLIS, timer -> agentLinks.closeSilent());
        runContext = new RunContext(vertx, agentLinks, router, claims(), time, random, metrics::countForeignFrame);
        CallerHandler handler = new CallerHandler(vertx, settings, table, this::run, () -> draining, metrics);
        AdminServer admin = new AdminServer(metrics.registry(), this::ready, this::status);
        return CallerServer.listen(vertx, settings, metrics, handler::handle)
                .thenCompose(server -> {
                    callerServer = server;
                    return admin.listen(vertx, settings.ip(), settings.adminPort());
                })
                .thenAccept(server -> {
                    adminServer = server;
                    Events.log(logger, EventCode.PROCESS_STARTED, "role", "entry", "port", port());
                });
    }

    private ClaimService claims() {
        TableService platform = new HttpPlatformClient(vertx, URI.create(settings.platformUrl()), PLATFORM_TIMEOUT);
        return new ClaimService(
                platform,
                task -> context.runOnContext(ignored -> task.run()),
                (delay, task) -> vertx.setTimer(Math.max(1, delay.toMillis()), timer -> task.run()),
                () -> AttemptId.random(tokenRandom::nextLong).toString(),
                time);
    }

    private void run(CallerRequest request, AnswerWriter answer) {
        if (runContext == null) {
            throw new IllegalStateException("not listening");
        }
        RequestRun[] self = new RequestRun[1];
        RequestRun run = new RequestRun(request, answer, runContext, () -> onOver(self[0]));
        self[0] = run;
        running.add(run);
        run.start();
    }

    private AgentLinks links() {
        if (links == null) {
            throw new IllegalStateException("not listening");
        }
        return links;
    }

    private int linkPort() {
        return settings.linkPort() == 0 ? settings.port() : settings.linkPort();
    }

    private boolean ready() {
        return !draining && table.get().revision() > 0;
    }

    private EntryStatus status() {
        return new EntryStatus("entry", settings.availabilityZone(), table.get().revision(), running.size(), draining);
    }

    private void onOver(RequestRun run) {
        running.remove(run);
        completeDrain();
    }

    private void completeDrain() {
        if (draining && lingered && running.isEmpty() && drained != null) {
            if (cutRequests == 0) {
                drained.complete(null);
            } else {
                drained.completeExceptionally(
                        new FirwheelException(ResultCode.DRAIN_LIMIT, cutRequests + " requests were cut"));
            }
        }
    }

    private void cutRemaining() {
        lingered = true;
        if (!running.isEmpty()) {
            Events.log(logger, EventCode.DRAIN_CUT, "running", running.size());
            cutRequests = running.size();
        }
        Set.copyOf(running).forEach(RequestRun::cut);
        vertx.setTimer(FLUSH_MILLIS, ignored -> {
            running.clear();
            completeDrain();
        });
    }
}
