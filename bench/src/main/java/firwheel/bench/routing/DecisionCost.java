package firwheel.bench.routing;

import firwheel.model.ManualTimeSource;
import firwheel.model.Priority;
import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.routing.LoadTracker;
import firwheel.routing.RandomSource;
import firwheel.routing.RankLoadReport;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import firwheel.routing.RoutingPolicies;
import firwheel.routing.RoutingPolicy;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of a routing decision. Run with {@code org.openjdk.jmh.Main DecisionCost -prof gc}. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionCost {
    private static final String ZONE = "zone";
    private static final String MODEL = "model";
    private static final int REQUESTS = 256;
    private static final int PREFIX_BLOCKS = 16;

    /** Number of candidate ranks: those of a zone at the design size, and those of the whole deployment. */
    @Param({"522", "12000"})
    public int candidates;

    /** Number of ranks in a group. */
    @Param({"1", "32"})
    public int groupSize;

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final LoadTracker tracker = new LoadTracker(time);
    private final RoutingPolicy policy = RoutingPolicies.TOKEN_AWARE.create(RandomSource.seeded(1));
    private TableSnapshot table = TableSnapshot.EMPTY;
    private List<RouteRequest> requests = List.of();
    private int nextRequest;

    /** Creates the table, a load report for each rank, and the requests. */
    @Setup
    public void setUp() {
        int groups = (candidates + groupSize - 1) / groupSize;
        table = new TableSnapshot(
                1, IntStream.range(0, groups).mapToObj(this::row).toList());
        SplittableRandom random = new SplittableRandom(1);
        time.advance(Duration.ofSeconds(1));
        for (TargetRow row : table.rows()) {
            for (RankAddress address : row.hosts()) {
                RankLoadReport report = new RankLoadReport(
                        random.nextLong(50_000), random.nextInt(30), 0, 30_000, 0, time.monotonicNanos());
                tracker.onReport(new RankKey(row.name(), address.rank()), report);
            }
        }
        requests = IntStream.range(0, REQUESTS)
                .mapToObj(i -> new RouteRequest(
                        TargetKind.MODEL,
                        MODEL,
                        "organisation",
                        Priority.NORMAL,
                        LongStream.generate(random::nextLong)
                                .limit(PREFIX_BLOCKS)
                                .boxed()
                                .toList(),
                        1_000,
                        Set.of()))
                .toList();
    }

    /** Measures one decision. Time advances by 1 ms in between so that summaries of groups age as in production. */
    @Benchmark
    public RouteDecision decide() {
        time.advance(Duration.ofMillis(1));
        nextRequest = (nextRequest + 1) % REQUESTS;
        return policy.choose(requests.get(nextRequest), tracker.view(table, ZONE));
    }

    private TargetRow row(int group) {
        int ranks = Math.min(groupSize, candidates - group * groupSize);
        List<RankAddress> hosts = IntStream.range(0, ranks)
                .mapToObj(rank -> new RankAddress(rank, "127.0.0.1", 7_000 + rank))
                .toList();
        return new TargetRow(
                "group-" + group,
                TargetKind.MODEL,
                List.of(MODEL),
                ZONE,
                RowState.SERVING,
                1,
                64,
                64,
                1_000_000,
                true,
                hosts,
                true,
                true,
                1,
                1);
    }
}
