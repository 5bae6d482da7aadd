package firwheel.bench.table;

import com.sun.management.OperatingSystemMXBean;
import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.peers.ControlThread;
import firwheel.peers.TableSynchronizer;
import firwheel.standin.FaultyTableService;
import firwheel.standin.InMemoryTableService;
import firwheel.store.Delay;
import firwheel.store.EventLoops;
import firwheel.store.HostList.HostEntry;
import firwheel.table.TableCommitter;
import firwheel.table.TableValidator;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.LinkSecurity;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * Measures the time from the commit of a table change until all nodes, which run in one process, have applied it.
 * Usage: {@code TableBench ENTRIES AGENTS ROWS CHANGES}.
 */
public final class TableBench {
    private static final int LINK_PORT = 7_431;
    private static final int ZONES = 3;
    private static final long CHANGE_INTERVAL_MILLIS = 300;

    private final Vertx vertx = Vertx.vertx();
    private final TimeSource time = TimeSource.system();
    private final FaultyTableService store =
            new FaultyTableService(new InMemoryTableService(), time, Delay.system(), 1);
    private final List<HostEntry> entryHosts = new ArrayList<>();
    private final List<TableSynchronizer> nodes = new ArrayList<>();

    private TableBench() {}

    /** Runs the benchmark for one size and prints the results on one line. */
    public static void main(String[] args) throws InterruptedException {
        new TableBench()
                .run(
                        Integer.parseInt(args[0]),
                        Integer.parseInt(args[1]),
                        Integer.parseInt(args[2]),
                        Integer.parseInt(args[3]));
        System.exit(0);
    }

    private void run(int entries, int agents, int rows, int changes) throws InterruptedException {
        TableSnapshot table = table(agents, rows);
        commit(TableSnapshot.EMPTY, table, "first");
        table = new TableSnapshot(1, table.rows());
        long heapBefore = usedHeapBytes();
        for (int i = 0; i < entries; i++) {
            entryHosts.add(new HostEntry(ip(51, i), "z" + i % ZONES, "entry", false));
        }
        for (int i = 0; i < entries; i++) {
            nodes.add(start(ip(51, i), "z" + i % ZONES, "entry"));
        }
        for (int i = 0; i < agents; i++) {
            nodes.add(start(ip(52, i), "z" + i % ZONES, "agent"));
        }
        awaitAll(1);
        Thread.sleep(10_000);
        measure(table, changes, heapBefore);
    }

    private void measure(TableSnapshot first, int changes, long heapBefore) throws InterruptedException {
        Histogram micros = new Histogram(3);
        long reads = store.reads();
        long writes = store.writes();
        long sent = nodes.stream().mapToLong(TableSynchronizer::sentBytes).sum();
        long cpuNanos = cpuNanos();
        long startNanos = time.monotonicNanos();
        TableSnapshot table = first;
        for (int i = 0; i < changes; i++) {
            TargetRow row = table.rows().get(i % table.rows().size());
            List<TargetRow> rows = new ArrayList<>(table.rows());
            rows.set(i % rows.size(), row.withState(RowState.JOINING));
            commit(table, new TableSnapshot(table.revision(), rows), "c" + i);
            long acceptedNanos = time.monotonicNanos();
            table = new TableSnapshot(table.revision() + 1, rows);
            awaitAll(table.revision());
            micros.recordValue((time.monotonicNanos() - acceptedNanos) / 1_000);
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        double seconds = (time.monotonicNanos() - startNanos) / 1e9;
        double cpu = (cpuNanos() - cpuNanos) / 1e9;
        long sentNow = nodes.stream().mapToLong(TableSynchronizer::sentBytes).sum();
        long heap = usedHeapBytes() - heapBefore;
        System.out.printf(
                "nodes %d rows %d changes %d p50 %.0f ms p99 %.0f ms max %.0f ms; changes/s %.2f reads/s %.1f"
                        + " writes/s %.1f; per node: sent %.0f B/s, cpu %.2f %%, heap %.1f MB%n",
                nodes.size(),
                table.rows().size(),
                changes,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getMaxValue() / 1e3,
                changes / seconds,
                (store.reads() - reads) / seconds,
                (store.writes() - writes) / seconds,
                (sentNow - sent) / seconds / nodes.size(),
                100 * cpu / seconds / nodes.size(),
                heap / 1e6 / nodes.size());
    }

    private TableSynchronizer start(String ip, String zone, String role) {
        return EventLoops.deploy(vertx, () -> {
                    LinkIdentity self = new LinkIdentity(ip + ":" + LINK_PORT, zone, role, ip.hashCode());
                    LinkEndpoint endpoint =
                            new LinkEndpoint(vertx, new LinkSecurity(new SharedKey("bench"), null), self);
                    TableSynchronizer.Sources sources = role.equals("agent")
                            ? TableSynchronizer.Sources.forAgent(List.of())
                            : new TableSynchronizer.Sources(
                                    store,
                                    () -> CompletableFuture.completedFuture(List.copyOf(entryHosts)),
                                    LINK_PORT,
                                    List.of());
                    TableSynchronizer[] node = new TableSynchronizer[1];
                    node[0] = new TableSynchronizer(
                            vertx.getOrCreateContext(),
                            endpoint,
                            ControlThread.newExecutor(),
                            sources,
                            (peerIp, port) ->
                                    endpoint.connect(peerIp, port).thenAccept(link -> node[0].addTableLink(link)),
                            new Random());
                    return endpoint.listen(ip, LINK_PORT, link -> node[0].addTableLink(link))
                            .thenApply(server -> {
                                node[0].start();
                                return node[0];
                            });
                })
                .join();
    }

    private void commit(TableSnapshot base, TableSnapshot updated, String changeId) {
        var unused = new TableCommitter(store, time, Delay.system())
                .apply(base, updated, "bench", "measurement", changeId, new TableValidator.Options(true))
                .join();
    }

    private void awaitAll(long revision) throws InterruptedException {
        while (nodes.stream().anyMatch(node -> node.get().revision() < revision)) {
            Thread.sleep(1);
        }
    }

    private static TableSnapshot table(int agents, int rows) {
        List<TargetRow> targetRows = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            boolean hasAgent = i < agents;
            RankAddress host = new RankAddress(
                    0, hasAgent ? ip(52, i) : "10." + (i >> 16) + "." + ((i >> 8) & 255) + "." + (i & 255), LINK_PORT);
            targetRows.add(new TargetRow(
                    String.format("row-%05d", i),
                    TargetKind.MODEL,
                    List.of("m" + i % 8),
                    hasAgent ? "z" + i % ZONES : "elsewhere",
                    RowState.SERVING,
                    1,
                    8,
                    8,
                    100_000,
                    true,
                    List.of(host),
                    false,
                    false,
                    1,
                    1));
        }
        return new TableSnapshot(0, targetRows);
    }

    private static String ip(int thirdOctet, int number) {
        return "127.0." + thirdOctet + "." + (number + 1);
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
