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

/** Server of the entry process, which accepts requests from callers. All its traffic runs on one event loop. */
public final class EntryServer {
    private static final long LINK_CHECK_INTERVAL_MILLIS = 1_000;
    /**
     * Minimum duration of a drain. Meanwhile new requests are refused explicitly, so that callers learn of the drain
     * before their connections close.
     */
    private static final long LINGER_MILLIS = 1_500;

    private static final long FLUSH_DELAY_MILLIS = 500;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Logger logger = LoggerFactory.getLogger(EntryServer.class);

    private final Vertx vertx;
    private final Context context;
    private final EntrySettings settings;
    private final Supplier<TableSnapshot> table;
    private final Router router;
    private final TimeSource time = TimeSource.system();
    private final EntryMetrics metrics = new EntryMetrics();
    private final SecureRandom claimTokenRandom = new SecureRandom();
    private final SplittableRandom random = new SplittableRandom();
    private final long incarnation = random.nextLong();
    private final Set<RequestExecution> openRequests = new HashSet<>();
    private @Nullable RequestContext requestContext;
    private @Nullable AgentLinks links;
    private @Nullable HttpServer callerServer;
    private @Nullable HttpServer adminServer;
    private boolean draining;
    private boolean lingerElapsed;
    private int abortedRequests;
    private @Nullable CompletableFuture<Void> drainFuture;

    private EntryServer(Vertx vertx, EntrySettings settings, Supplier<TableSnapshot> table, RoutingPolicy policy) {
        this.vertx = vertx;
        this.settings = settings;
        this.table = table;
        router = new Router(policy, table, settings.availabilityZone(), time);
        context = vertx.getOrCreateContext();
    }

    /** Starts an entry with the given table; the future completes once the entry is listening. */
    public static CompletableFuture<EntryServer> start(
            Vertx vertx, EntrySettings settings, Supplier<TableSnapshot> table, RoutingPolicy policy) {
        return EventLoops.deploy(vertx, () -> {
            EntryServer entry = new EntryServer(vertx, settings, table, policy);
            return entry.listen().thenApply(done -> entry);
        });
    }

    /** Starts an entry that synchronizes its table with the platform and its peers. */
    public static CompletableFuture<EntryServer> start(
            Vertx vertx, EntrySettings settings, TableSynchronizer.Sources sources, RoutingPolicy policy) {
        return EventLoops.deploy(vertx, () -> {
            DeferredTableSource table = new DeferredTableSource();
            EntryServer entry = new EntryServer(vertx, settings, table, policy);
            return entry.listen()
                    .thenCompose(done -> entry.startTableSynchronizer(sources))
                    .thenApply(synchronizer -> {
                        table.setDelegate(synchronizer);
                        return entry;
                    });
        });
    }

    private CompletableFuture<TableSynchronizer> startTableSynchronizer(TableSynchronizer.Sources sources) {
        AgentLinks agentLinks = links();
        TableSynchronizer synchronizer = new TableSynchronizer(
                context,
                agentLinks.endpoint(),
                ControlThread.newExecutor(),
                sources,
                (ip, port) -> agentLinks.link(new RankAddress(0, ip, port)),
                new Random());
        agentLinks.setTableSynchronizer(synchronizer);
        synchronizer.start();
        return settings.linkPort() == 0
                ? CompletableFuture.completedFuture(synchronizer)
                : agentLinks
                        .endpoint()
                        .listen(settings.ip(), settings.linkPort(), synchronizer::addTableLink)
                        .thenApply(server -> synchronizer);
    }

    /** Returns the HTTP port for callers. */
    public int port() {
        return callerServer == null ? settings.port() : callerServer.actualPort();
    }

    /** Returns the HTTP port for metrics, health and status. */
    public int adminPort() {
        return adminServer == null ? settings.adminPort() : adminServer.actualPort();
    }

    /**
     * Refuses new requests. The future completes when all open requests have ended; it fails with {@code FW-4004} if any
     * of them was aborted by the drain limit or by {@link #forceDrain}.
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            Events.log(logger, EventCode.PROCESS_DRAINING, "role", "entry", "running", openRequests.size());
            draining = true;
            drainFuture = done;
            vertx.setTimer(Math.max(1, settings.drainLimitMillis()), timer -> failRemaining());
            vertx.setTimer(LINGER_MILLIS, timer -> {
                lingerElapsed = true;
                completeDrainIfIdle();
            });
        });
        return done;
    }

    /** Ends the drain immediately: requests that are still open fail explicitly. */
    public void forceDrain() {
        context.runOnContext(ignored -> failRemaining());
    }

    private CompletableFuture<?> listen() {
        LinkIdentity identity =
                new LinkIdentity(settings.ip() + ":" + linkPort(), settings.availabilityZone(), "entry", incarnation);
        LinkEndpoint endpoint = new LinkEndpoint(vertx, settings.linkSecurity(), identity);
        AgentLinks agentLinks = new AgentLinks(endpoint, time, router::onReport, metrics::countDroppedFrame);
        links = agentLinks;
        vertx.setPeriodic(LINK_CHECK_INTERVAL_MILLIS, timer -> agentLinks.closeSilentLinks());
        requestContext = new RequestContext(
                vertx, agentLinks, router, createClaimService(), time, random, metrics::countDroppedFrame);
        CallerHandler handler = new CallerHandler(vertx, settings, table, this::run, () -> draining, metrics);
        AdminServer admin = new AdminServer(metrics.registry(), this::isReady, this::status);
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

    private ClaimService createClaimService() {
        TableService platformClient =
                new HttpPlatformClient(vertx, URI.create(settings.platformUrl()), PLATFORM_TIMEOUT);
        return new ClaimService(
                platformClient,
                task -> context.runOnContext(ignored -> task.run()),
                (delay, task) -> vertx.setTimer(Math.max(1, delay.toMillis()), timer -> task.run()),
                () -> AttemptId.random(claimTokenRandom::nextLong).toString(),
                time);
    }

    private void run(CallerRequest request, ResponseWriter responseWriter) {
        if (requestContext == null) {
            throw new IllegalStateException("the entry server has not been started");
        }
        RequestExecution[] self = new RequestExecution[1];
        RequestExecution execution =
                new RequestExecution(request, responseWriter, requestContext, () -> onRequestFinished(self[0]));
        self[0] = execution;
        openRequests.add(execution);
        execution.start();
    }

    private AgentLinks links() {
        if (links == null) {
            throw new IllegalStateException("the entry server has not been started");
        }
        return links;
    }

    private int linkPort() {
        return settings.linkPort() == 0 ? settings.port() : settings.linkPort();
    }

    private boolean isReady() {
        return !draining && table.get().revision() > 0;
    }

    private EntryStatus status() {
        return new EntryStatus(
                "entry", settings.availabilityZone(), table.get().revision(), openRequests.size(), draining);
    }

    private void onRequestFinished(RequestExecution execution) {
        openRequests.remove(execution);
        completeDrainIfIdle();
    }

    private void completeDrainIfIdle() {
        if (draining && lingerElapsed && openRequests.isEmpty() && drainFuture != null) {
            if (abortedRequests == 0) {
                drainFuture.complete(null);
            } else {
                drainFuture.completeExceptionally(new FirwheelException(
                        ResultCode.DRAIN_LIMIT, abortedRequests + " requests were aborted by the shutdown"));
            }
        }
    }

    /** Fails all open requests, and ends the drain after a delay in which the error responses are flushed. */
    private void failRemaining() {
        lingerElapsed = true;
        if (!openRequests.isEmpty()) {
            Events.log(logger, EventCode.DRAIN_CUT, "running", openRequests.size());
            abortedRequests = openRequests.size();
        }
        Set.copyOf(openRequests).forEach(RequestExecution::abort);
        vertx.setTimer(FLUSH_DELAY_MILLIS, ignored -> {
            openRequests.clear();
            completeDrainIfIdle();
        });
    }
}
