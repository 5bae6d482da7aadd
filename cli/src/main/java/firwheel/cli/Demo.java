package firwheel.cli;

import firwheel.agent.AgentServer;
import firwheel.agent.AgentSettings;
import firwheel.entry.EntryServer;
import firwheel.entry.EntrySettings;
import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.routing.RandomSource;
import firwheel.routing.RoutingPolicies;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.StandInEngine;
import firwheel.standin.StandInPlatform;
import firwheel.standin.StandInService;
import firwheel.store.HttpPlatformClient;
import firwheel.table.PollingTableSource;
import firwheel.table.TableCommitter;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A whole deployment in one process: stand-ins, two model groups of four ranks each, one service, and entries. */
final class Demo {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String ZONE = "zone-a";
    private static final String SHARED_KEY = "demo-key-not-for-use";
    private static final int MODEL_GROUPS = 2;
    private static final int RANKS_PER_GROUP = 4;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long BODY_TIMEOUT_MILLIS = 30_000;
    private static final long IDLE_TIMEOUT_MILLIS = 120_000;
    private static final Duration FIRST_TOKEN_DELAY = Duration.ofMillis(50);
    private static final Duration TOKEN_DELAY = Duration.ofMillis(20);
    private static final Duration SERVICE_DELAY = Duration.ofMillis(5);
    private static final long START_TIMEOUT_SECONDS = 30;

    /**
     * Options of the demo.
     *
     * @param entryPort port of the first entry; 0 selects free ports
     * @param platformPort port of the platform; 0 selects a free port
     * @param entries number of entries
     * @param drainLimit maximum duration of the drain at shutdown
     */
    record Options(int entryPort, int platformPort, int entries, Duration drainLimit) {}

    private final Vertx vertx = Vertx.vertx();
    private final Options options;
    private final List<AgentServer> agents = new ArrayList<>();
    private final List<EntryServer> entries = new ArrayList<>();
    private String platformUrl = "";

    private Demo(Options options) {
        this.options = options;
    }

    /** Starts all components and returns when the entries have a table. */
    static Demo start(Options options) {
        Demo demo = new Demo(options);
        demo.startAll();
        return demo;
    }

    /** Returns the line with the addresses of the entries and the platform. */
    String readyLine() {
        String urls = entries.stream()
                .map(entry -> "http://" + LOOPBACK + ":" + entry.port())
                .collect(Collectors.joining(","));
        return "ready entry=" + urls + " platform=" + platformUrl;
    }

    /** Returns the ports of the entries. */
    List<Integer> entryPorts() {
        return entries.stream().map(EntryServer::port).toList();
    }

    /** Drains the entries, then the agents. */
    CompletableFuture<Void> drain() {
        return CompletableFuture.allOf(entries.stream().map(EntryServer::drain).toArray(CompletableFuture<?>[]::new))
                .thenCompose(done -> CompletableFuture.allOf(
                        agents.stream().map(AgentServer::drain).toArray(CompletableFuture<?>[]::new)));
    }

    /** Aborts the drain: running requests fail explicitly. */
    void abortDrain() {
        entries.forEach(EntryServer::forceDrain);
        agents.forEach(AgentServer::forceDrain);
    }

    /** Stops all components without draining. */
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void startAll() {
        HttpServer platform = new StandInPlatform(vertx, new InMemoryTableService())
                .listen(LOOPBACK, options.platformPort())
                .join();
        platformUrl = "http://" + LOOPBACK + ":" + platform.actualPort();
        PollingTableSource table = TableSources.polling(vertx, platformUrl);
        List<TargetRow> rows = new ArrayList<>();
        for (int group = 0; group < MODEL_GROUPS; group++) {
            rows.add(startGroup("group-" + group, table));
        }
        rows.add(startService("order-desk-0", table));
        publishTable(new TableSnapshot(0, rows));
        for (int i = 0; i < options.entries(); i++) {
            entries.add(startEntry(options.entryPort() == 0 ? 0 : options.entryPort() + i, table));
        }
        awaitTable(table);
    }

    private TargetRow startGroup(String name, PollingTableSource table) {
        List<RankAddress> hosts = new ArrayList<>();
        for (int rank = 0; rank < RANKS_PER_GROUP; rank++) {
            HttpServer engine = new StandInEngine(vertx, FIRST_TOKEN_DELAY, TOKEN_DELAY)
                    .listen(LOOPBACK, 0)
                    .join();
            hosts.add(startAgent(name, rank, engine.actualPort(), table));
        }
        return row(name, TargetKind.MODEL, List.of("demo-model"), true, hosts);
    }

    private TargetRow startService(String name, PollingTableSource table) {
        HttpServer service =
                new StandInService(vertx, SERVICE_DELAY).listen(LOOPBACK, 0).join();
        RankAddress host = startAgent(name, 0, service.actualPort(), table);
        return row(name, TargetKind.SERVICE, List.of("order-desk"), false, List.of(host));
    }

    private RankAddress startAgent(String row, int rank, int targetPort, PollingTableSource table) {
        AgentSettings settings = new AgentSettings(
                LOOPBACK,
                0,
                0,
                ZONE,
                row,
                rank,
                LOOPBACK,
                targetPort,
                platformUrl,
                List.of(),
                SHARED_KEY,
                null,
                options.drainLimit().toMillis());
        AgentServer agent = AgentServer.start(vertx, settings, table).join();
        agents.add(agent);
        return new RankAddress(rank, LOOPBACK, agent.port());
    }

    private EntryServer startEntry(int port, PollingTableSource table) {
        EntrySettings settings = new EntrySettings(
                LOOPBACK,
                port,
                0,
                0,
                ZONE,
                platformUrl,
                List.of(),
                SHARED_KEY,
                null,
                MAX_BODY_BYTES,
                BODY_TIMEOUT_MILLIS,
                IDLE_TIMEOUT_MILLIS,
                options.drainLimit().toMillis());
        return EntryServer.start(vertx, settings, table, RoutingPolicies.TOKEN_AWARE.create(RandomSource.threadLocal()))
                .join();
    }

    private static TargetRow row(
            String name, TargetKind kind, List<String> models, boolean idempotent, List<RankAddress> hosts) {
        return new TargetRow(
                name, kind, models, ZONE, RowState.SERVING, 1, 64, 64, 100_000, idempotent, hosts, false, false, 1, 1);
    }

    private void publishTable(TableSnapshot table) {
        HttpPlatformClient client =
                new HttpPlatformClient(vertx, URI.create(platformUrl), TableSources.PLATFORM_TIMEOUT);
        TableCommitter committer = new TableCommitter(client, TimeSource.system(), this::delay);
        committer
                .apply(
                        TableSnapshot.EMPTY,
                        table,
                        "demo",
                        "first table",
                        UUID.randomUUID().toString())
                .orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private CompletableFuture<Void> delay(Duration duration) {
        return vertx.timer(duration.toMillis(), TimeUnit.MILLISECONDS)
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    private void awaitTable(PollingTableSource table) {
        CompletableFuture<Void> tableLoaded = new CompletableFuture<>();
        vertx.setPeriodic(10, timer -> {
            if (table.get().revision() > 0) {
                vertx.cancelTimer(timer);
                tableLoaded.complete(null);
            }
        });
        tableLoaded.orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }
}
