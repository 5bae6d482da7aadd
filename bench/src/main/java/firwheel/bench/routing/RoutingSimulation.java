package firwheel.bench.routing;

import firwheel.bench.VirtualEventLoop;
import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.routing.RandomSource;
import firwheel.routing.RankLoadReport;
import firwheel.routing.RoutingPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** Simulates entries that route requests to lock-step groups without sharing state with each other. */
final class RoutingSimulation {
    private static final int GROUPS = 4;
    private static final int RANKS_PER_GROUP = 8;
    private static final int ENTRIES = 18;
    private static final int PREFIXES = 400;
    private static final int PREFIX_BLOCKS = 16;
    private static final int PROBES_PER_REQUEST = 3;
    private static final double WARM_UP_SECONDS = 20;
    private static final double END_SECONDS = 60;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();
    private static final long PROBE_DELAY_NANOS = Duration.ofMillis(1).toNanos();

    private final RoutingPoint point;
    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final RoutingMetrics metrics = new RoutingMetrics();
    private final List<LockStepGroup> groups = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<List<Long>> prefixHashes = new ArrayList<>();
    private final SplittableRandom random;
    private final ZipfDistribution prefixDistribution;
    private final ZipfDistribution entryDistribution;

    private RoutingSimulation(RoutingPoint point, Function<RandomSource, RoutingPolicy> policyFactory) {
        this.point = point;
        this.random = new SplittableRandom(point.seed());
        this.prefixDistribution =
                new ZipfDistribution(PREFIXES, point.arrivals().prefixExponent());
        this.entryDistribution = new ZipfDistribution(ENTRIES, point.arrivals().entryExponent());
        for (int group = 0; group < GROUPS; group++) {
            groups.add(group(group));
        }
        for (int entry = 0; entry < ENTRIES; entry++) {
            RoutingPolicy policy = policyFactory.apply(RandomSource.seeded(point.seed() * 1_000 + entry));
            entries.add(new SimulatedEntry(policy, loop, table()));
        }
        SplittableRandom hashes = new SplittableRandom(1);
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            prefixHashes.add(LongStream.generate(hashes::nextLong)
                    .limit(PREFIX_BLOCKS)
                    .boxed()
                    .toList());
        }
    }

    /** Runs one point; each entry gets its own policy instance. */
    static RoutingResult run(RoutingPoint point, Function<RandomSource, RoutingPolicy> policyFactory) {
        RoutingSimulation simulation = new RoutingSimulation(point, policyFactory);
        simulation.runToEnd();
        return simulation.metrics.result();
    }

    private void runToEnd() {
        for (LockStepGroup group : groups) {
            for (SimulatedRank rank : group.ranks()) {
                loop.schedule(random.nextLong(REPORT_INTERVAL_NANOS), () -> reportLoad(rank));
            }
        }
        loop.schedule(Math.round(WARM_UP_SECONDS * NANOS_PER_SECOND), metrics::startRecording);
        scheduleArrival();
        loop.runUntil(Math.round(END_SECONDS * NANOS_PER_SECOND));
    }

    private void reportLoad(SimulatedRank rank) {
        RankLoadReport report = rank.report(loop.nowNanos());
        long lagNanos = Duration.ofMillis(point.lagMillis()).toNanos();
        loop.schedule(lagNanos, () -> entries.forEach(entry -> entry.onReport(rank.key, report)));
        loop.schedule(REPORT_INTERVAL_NANOS, () -> reportLoad(rank));
    }

    private void scheduleArrival() {
        double capacity = EngineModel.capacityPerRank() * GROUPS * RANKS_PER_GROUP;
        double rate = capacity * point.loadPercent() / 100 * point.arrivals().rate(seconds());
        double gapSeconds = -Math.log(1 - random.nextDouble()) / rate;
        loop.schedule(Math.round(gapSeconds * NANOS_PER_SECOND), this::arrive);
    }

    private void arrive() {
        SimulatedEntry entry = entries.get(entryDistribution.sample(random));
        int prefix = (prefixDistribution.sample(random) + point.arrivals().prefixShift(seconds())) % PREFIXES;
        double scale = point.arrivals().promptScale(seconds() / END_SECONDS);
        int unique = drawSize(EngineModel.MEAN_UNIQUE_TOKENS * scale);
        int output = drawSize(EngineModel.MEAN_OUTPUT_TOKENS);
        SimulatedRequest request = new SimulatedRequest(entry, prefix, unique, output, loop.nowNanos());
        dispatch(request);
        scheduleArrival();
    }

    private void dispatch(SimulatedRequest request) {
        List<Long> hashes = prefixHashes.get(request.prefix);
        SimulatedEntry entry = request.entry;
        List<RankKey> targets = entry.probeTargets(request, hashes, PROBES_PER_REQUEST);
        send(request, hashes);
        for (RankKey target : targets) {
            loop.schedule(
                    PROBE_DELAY_NANOS, () -> entry.onProbe(target, rank(target).report(loop.nowNanos())));
        }
    }

    private void send(SimulatedRequest request, List<Long> hashes) {
        RankKey chosen = request.entry.choose(request, hashes);
        if (chosen == null) {
            metrics.onRefused();
            return;
        }
        groups.get(Integer.parseInt(chosen.row())).add(chosen.rank(), request);
    }

    private SimulatedRank rank(RankKey key) {
        return groups.get(Integer.parseInt(key.row())).ranks().get(key.rank());
    }

    private double seconds() {
        return (double) loop.nowNanos() / NANOS_PER_SECOND;
    }

    /** Draws a token count from a log-normal distribution with this mean, clamped between 8 and 8 times the mean. */
    private int drawSize(double mean) {
        double sigma = point.arrivals().sizeSigma();
        double drawn = mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
        return (int) Math.max(8, Math.min(8 * mean, drawn));
    }

    private LockStepGroup group(int number) {
        List<SimulatedRank> ranks = IntStream.range(0, RANKS_PER_GROUP)
                .mapToObj(rank -> new SimulatedRank(new RankKey(String.valueOf(number), rank), metrics))
                .toList();
        return new LockStepGroup(loop, metrics, ranks);
    }

    private static TableSnapshot table() {
        List<RankAddress> hosts = IntStream.range(0, RANKS_PER_GROUP)
                .mapToObj(rank -> new RankAddress(rank, "127.0.0.1", 7_000 + rank))
                .toList();
        List<TargetRow> rows = IntStream.range(0, GROUPS)
                .mapToObj(group -> row(String.valueOf(group), hosts))
                .toList();
        return new TableSnapshot(1, rows);
    }

    private static TargetRow row(String name, List<RankAddress> hosts) {
        return new TargetRow(
                name,
                TargetKind.MODEL,
                List.of(SimulatedEntry.MODEL),
                SimulatedEntry.ZONE,
                RowState.SERVING,
                1,
                EngineModel.MAX_RUNNING,
                10_000,
                Long.MAX_VALUE,
                true,
                hosts,
                true,
                true,
                1,
                1);
    }
}
