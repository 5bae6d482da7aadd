package firwheel.bench.capacity;

import firwheel.admission.AdmissionController;
import firwheel.admission.AdmissionDecision;
import firwheel.admission.AdmissionLimits;
import firwheel.admission.AdmissionListener;
import firwheel.admission.AttemptDescriptor;
import firwheel.admission.AttemptRecords;
import firwheel.admission.ClaimOutcome;
import firwheel.admission.ClaimRequest;
import firwheel.admission.ClaimService;
import firwheel.admission.RecordLimits;
import firwheel.admission.RecordedResponse;
import firwheel.model.AttemptId;
import firwheel.model.Priority;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.routing.LoadTracker;
import firwheel.routing.RandomSource;
import firwheel.routing.RankLoadReport;
import firwheel.routing.RouteRequest;
import firwheel.routing.RoutingPolicies;
import firwheel.routing.RoutingPolicy;
import firwheel.standin.InMemoryTableService;
import firwheel.store.Delay;
import firwheel.table.ActiveTable;
import firwheel.table.AuditRecord;
import firwheel.table.RowChange;
import firwheel.table.TableCommitter;
import firwheel.table.TableValidator;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;

/** Measures the heap, storage and processor time of one table row, rank, attempt or claim. */
final class StateSlopes {
    private static final int ROWS = 12_000;
    private static final int ZONE_RANKS = 522;
    private static final int ATTEMPTS = 50_000;
    private static final int TABLE_UPDATES = 40;
    private static final int DECISIONS = 20_000;
    private static final int MAX_STREAM_BYTES = 1 << 20;
    private static final int RESPONSE_BYTES = 200;

    private final TimeSource time;
    private final MicroBenchmark benchmark;

    StateSlopes(TimeSource time) {
        this.time = time;
        this.benchmark = new MicroBenchmark(time);
    }

    Map<Slope, Double> measure() {
        Map<Slope, Double> slopes = new EnumMap<>(Slope.class);
        slopes.put(Slope.TABLE_ROW_HEAP_BYTES, tableRowHeapBytes());
        slopes.put(Slope.RANK_HEAP_BYTES, rankHeapBytes());
        slopes.put(Slope.ATTEMPT_HEAP_BYTES, attemptHeapBytes());
        slopes.put(Slope.ROUTE_MICROS, routeMicros());
        slopes.put(Slope.GATE_MICROS, admissionMicros());
        slopes.put(Slope.ADOPT_MILLIS, tableUpdateMillis());
        slopes.put(Slope.AUDIT_RECORD_BYTES, auditRecordBytes());
        slopes.put(Slope.CLAIM_ROW_BYTES, claimRowBytes());
        return slopes;
    }

    private static double tableRowHeapBytes() {
        return MicroBenchmark.heapBytes(1, ignored -> {
                    ActiveTable activeTable = new ActiveTable();
                    activeTable.offer(SampleTable.services(ROWS));
                    return activeTable;
                })
                / ROWS;
    }

    private double rankHeapBytes() {
        TableSnapshot table = SampleTable.groups(ROWS);
        return MicroBenchmark.heapBytes(1, ignored -> loadedTracker(table)) / ROWS;
    }

    private LoadTracker loadedTracker(TableSnapshot table) {
        LoadTracker tracker = new LoadTracker(time);
        for (TargetRow row : table.rows()) {
            for (int rank = 0; rank < row.hosts().size(); rank++) {
                tracker.onReport(
                        new RankKey(row.name(), rank),
                        new RankLoadReport(1_000, 3, 0, 20_000, 0, time.monotonicNanos()));
            }
        }
        return tracker;
    }

    private double attemptHeapBytes() {
        return MicroBenchmark.heapBytes(1, ignored -> {
                    AdmissionController controller = newController();
                    SplittableRandom random = new SplittableRandom(1);
                    for (int i = 0; i < ATTEMPTS; i++) {
                        runAttempt(controller, random);
                    }
                    return controller;
                })
                / ATTEMPTS;
    }

    private double admissionMicros() {
        AdmissionController controller = newController();
        SplittableRandom random = new SplittableRandom(2);
        return benchmark.micros(10_000, () -> runAttempt(controller, random));
    }

    private void runAttempt(AdmissionController controller, SplittableRandom random) {
        long nowMillis = time.monotonicMillis();
        AttemptDescriptor attempt = new AttemptDescriptor(
                AttemptId.random(random),
                1,
                "organisation",
                Priority.NORMAL,
                500,
                2_000,
                nowMillis + 60_000,
                nowMillis + 60_000);
        AdmissionDecision decision = controller.offer(attempt);
        if (!(decision instanceof AdmissionDecision.Admitted)) {
            throw new IllegalStateException("attempt was not admitted: " + decision);
        }
        controller.finish(attempt.id(), null);
    }

    private AdmissionController newController() {
        AdmissionLimits limits = new AdmissionLimits(64, 64, 1_000_000, 1 << 26, Duration.ofSeconds(30));
        RecordLimits recordLimits = new RecordLimits(ATTEMPTS * 2, 1 << 26, Duration.ofMinutes(15));
        return new AdmissionController(
                1,
                RowState.SERVING,
                limits,
                new AttemptRecords(recordLimits),
                MAX_STREAM_BYTES,
                time,
                new AdmissionListener() {
                    @Override
                    public void onStarted(AttemptDescriptor attempt) {}

                    @Override
                    public void onRefused(AttemptDescriptor attempt, ResultCode code, Duration retryAfter) {}
                });
    }

    private double routeMicros() {
        TableSnapshot table = SampleTable.groups(ZONE_RANKS);
        LoadTracker tracker = loadedTracker(table);
        RoutingPolicy policy = RoutingPolicies.TOKEN_AWARE.create(RandomSource.seeded(1));
        RouteRequest request = new RouteRequest(
                TargetKind.MODEL, "model", "organisation", Priority.NORMAL, List.of(1L, 2L, 3L), 500, Set.of());
        return benchmark.micros(DECISIONS, () -> policy.choose(request, tracker.view(table, "zone-a")));
    }

    private double tableUpdateMillis() {
        ActiveTable activeTable = new ActiveTable();
        activeTable.offer(SampleTable.services(ROWS));
        List<AuditRecord> records = new ArrayList<>();
        for (int i = 0; i < TABLE_UPDATES; i++) {
            records.add(leavingChange(activeTable.table().rows().get(i * 7), 2 + i));
        }
        long startNanos = time.monotonicNanos();
        records.forEach(record -> {
            if (activeTable.offerAuditRecords(List.of(record)) != ActiveTable.OfferResult.APPLIED) {
                throw new IllegalStateException("audit record was not applied to the table");
            }
        });
        return (time.monotonicNanos() - startNanos) / 1e6 / TABLE_UPDATES;
    }

    static AuditRecord leavingChange(TargetRow row, long revision) {
        return new AuditRecord(
                revision,
                "0123456789abcdef0123456789abcdef",
                "operator",
                "partner withdraws the target",
                1_700_000_000_000L,
                List.of(new RowChange(row.name(), row, row.withState(RowState.LEAVING))));
    }

    private double auditRecordBytes() {
        InMemoryTableService tables = new InMemoryTableService();
        TableCommitter committer = new TableCommitter(tables, time, Delay.system());
        TableSnapshot table = SampleTable.groups(1);
        TargetRow row = table.rows().get(0);
        TableSnapshot edited = new TableSnapshot(1, List.of(row.withState(RowState.LEAVING)));
        committer
                .apply(TableSnapshot.EMPTY, table, "operator", "first table", "first")
                .join();
        committer
                .apply(table, edited, "operator", "partner withdraws it", "second", new TableValidator.Options(true))
                .join();
        return tables.scan("audit/", "", 10).join().get(1).value().getBytes(StandardCharsets.UTF_8).length;
    }

    private double claimRowBytes() {
        InMemoryTableService tables = new InMemoryTableService();
        ClaimService claims = new ClaimService(
                tables,
                Runnable::run,
                (delay, task) -> task.run(),
                () -> UUID.randomUUID().toString(),
                time);
        ClaimRequest request = new ClaimRequest(
                "organisation",
                "order-desk",
                "0123456789abcdef",
                "0123456789abcdef0123456789abcdef",
                Instant.EPOCH.plusSeconds(60));
        if (!(claims.claim(request).join() instanceof ClaimOutcome.Claimed claimed)) {
            throw new IllegalStateException("idempotency key could not be claimed");
        }
        claims.complete(claimed.claim(), new RecordedResponse(200, "application/json", new byte[RESPONSE_BYTES]))
                .join();
        return tables.scan("", "", 10).join().stream()
                .mapToInt(row -> row.key().length() + row.value().getBytes(StandardCharsets.UTF_8).length)
                .sum();
    }
}
