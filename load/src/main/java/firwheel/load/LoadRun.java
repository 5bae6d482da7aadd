package firwheel.load;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.http.StrictHttpClient;
import firwheel.model.TimeSource;
import firwheel.standin.StandInService.LedgerEntry;
import firwheel.store.EventLoops;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Sends requests at a fixed rate, regardless of how fast responses arrive, and verifies each response. All state is
 * confined to one event loop.
 */
public final class LoadRun {
    private static final long TICK_MILLIS = 2;
    private static final long PROGRESS_MILLIS = 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final LoadOptions options;
    private final TimeSource time;
    private final Consumer<String> progress;
    private final SplittableRandom random;
    private final HttpClient client;
    private final LoadStatistics statistics = new LoadStatistics();
    private final LedgerCheck ledgerCheck = new LedgerCheck();
    private final CompletableFuture<LoadReport> reportFuture = new CompletableFuture<>();
    private final long startNanos;
    private long offeredCount;
    private int inFlight;
    private boolean offering = true;

    private LoadRun(Vertx vertx, LoadOptions options, TimeSource time, Consumer<String> progress) {
        this.vertx = vertx;
        this.options = options;
        this.time = time;
        this.progress = progress;
        random = new SplittableRandom(options.seed());
        client = StrictHttpClient.create(
                vertx,
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(options.maxInFlight()));
        startNanos = time.monotonicNanos();
    }

    /** Starts a run. {@code progress} receives a line each second; the future completes after the last response. */
    public static CompletableFuture<Result> start(
            Vertx vertx, LoadOptions options, TimeSource time, Consumer<String> progress) {
        return EventLoops.deploy(vertx, () -> {
            LoadRun run = new LoadRun(vertx, options, time, progress);
            run.startTimers();
            return run.reportFuture.thenApply(LoadRun::toResult);
        });
    }

    /**
     * Result of a load run.
     *
     * @param passed whether all delivery guarantees to callers were kept
     * @param text human-readable report
     * @param json report in JSON
     */
    public record Result(boolean passed, String text, String json) {}

    private static Result toResult(LoadReport report) {
        try {
            return new Result(
                    report.passed(),
                    report.text(),
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void startTimers() {
        vertx.setPeriodic(TICK_MILLIS, this::tick);
        vertx.setPeriodic(PROGRESS_MILLIS, timer -> {
            if (reportFuture.isDone()) {
                vertx.cancelTimer(timer);
            } else {
                progress.accept(progressLine());
            }
        });
    }

    private String progressLine() {
        return String.format(
                "%3d s  offered %d  complete %d  not-run %d  in flight %d",
                elapsedSeconds(),
                statistics.offered(),
                statistics.count(Verdict.COMPLETE),
                statistics.count(Verdict.NOT_RUN),
                inFlight);
    }

    private int elapsedSeconds() {
        return (int) ((time.monotonicNanos() - startNanos) / NANOS_PER_SECOND);
    }

    private void tick(long timer) {
        double elapsedNanos =
                Math.min(time.monotonicNanos() - startNanos, options.duration().toNanos());
        long dueCount = (long) (elapsedNanos / NANOS_PER_SECOND * options.ratePerSecond());
        while (offeredCount < dueCount) {
            offerRequest(startNanos + (long) (offeredCount * NANOS_PER_SECOND / options.ratePerSecond()));
        }
        if (elapsedNanos >= options.duration().toNanos()) {
            vertx.cancelTimer(timer);
            offering = false;
            finishWhenIdle();
        }
    }

    private void offerRequest(long scheduledNanos) {
        long sequenceNumber = offeredCount++;
        statistics.recordOffered();
        if (inFlight >= options.maxInFlight()) {
            statistics.recordShed();
            return;
        }
        inFlight++;
        RequestMix.Item item = options.mix().draw(random);
        List<URI> entries = new ArrayList<>(options.entries());
        Collections.rotate(entries, -(int) (sequenceNumber % entries.size()));
        LoadRequest request =
                new LoadRequest(vertx, item, sequenceNumber, options.seed(), scheduledNanos, time, statistics);
        request.send(client, entries, options.deadline(), verdict -> onVerdict(request, verdict));
    }

    private void onVerdict(LoadRequest request, Verdict verdict) {
        inFlight--;
        statistics.recordVerdict(verdict, elapsedSeconds());
        request.bodyDigest().ifPresent(digest -> ledgerCheck.recordVerdict(digest, verdict));
        finishWhenIdle();
    }

    private void finishWhenIdle() {
        if (!offering && inFlight == 0) {
            if (options.ledgers().isEmpty()) {
                reportFuture.complete(LoadReport.of(statistics, options, LedgerCheck.Findings.NONE));
                return;
            }
            List<Future<List<LedgerEntry>>> reads = new ArrayList<>();
            options.ledgers().forEach(address -> reads.add(readLedger(address)));
            Future.all(reads)
                    .onSuccess(all ->
                            reportFuture.complete(LoadReport.of(statistics, options, ledgerCheck.compare(all.list()))))
                    .onFailure(reportFuture::completeExceptionally);
        }
    }

    private Future<List<LedgerEntry>> readLedger(URI address) {
        RequestOptions request = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.getHost())
                .setPort(address.getPort())
                .setURI("/ledger");
        return client.request(request)
                .compose(call -> call.send().compose(response -> response.body()))
                .map(body -> {
                    try {
                        return new ObjectMapper().readValue(body.getBytes(), new TypeReference<List<LedgerEntry>>() {});
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
