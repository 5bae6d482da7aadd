package firwheel.standin;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import firwheel.store.CommitResult;
import firwheel.store.Delay;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Wraps a table service, injects faults from a seeded random source and counts reads and writes. Not thread-safe. */
public final class FaultyTableService implements TableService {
    private final TableService inner;
    private final TimeSource time;
    private final Delay delay;
    private final SplittableRandom random;
    private Faults faults = Faults.NONE;
    private long windowSecond;
    private int windowReads;
    private int windowWrites;
    private long reads;
    private long writes;

    /** Creates a wrapper around {@code inner} that injects no faults until {@link #setFaults} is called. */
    public FaultyTableService(TableService inner, TimeSource time, Delay delay, long seed) {
        this.inner = inner;
        this.time = time;
        this.delay = delay;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Faults to inject.
     *
     * @param outage whether every call fails without effect
     * @param latency delay before a call takes effect, and again before its response
     * @param slowShare share of calls that take {@code slowLatency} instead of {@code latency}
     * @param slowLatency latency of the calls selected by {@code slowShare}
     * @param lostAnswerShare share of writes that take effect but whose response is lost
     * @param refusedShare share of calls that fail without effect
     * @param readsPerSecond maximum number of reads per second
     * @param writesPerSecond maximum number of writes per second
     */
    public record Faults(
            boolean outage,
            Duration latency,
            double slowShare,
            Duration slowLatency,
            double lostAnswerShare,
            double refusedShare,
            int readsPerSecond,
            int writesPerSecond) {
        /** No faults and no limits. */
        public static final Faults NONE =
                new Faults(false, Duration.ZERO, 0, Duration.ZERO, 0, 0, Integer.MAX_VALUE, Integer.MAX_VALUE);

        /** Returns faults under which every call fails without effect. */
        public static Faults unavailable() {
            return new Faults(true, Duration.ZERO, 0, Duration.ZERO, 0, 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }

        /**
         * Returns faults under which {@code share} of the writes take effect but lose their response. All calls are
         * delayed by 2 ms in each direction.
         */
        public static Faults withLostAnswers(double share) {
            return new Faults(
                    false, Duration.ofMillis(2), 0, Duration.ZERO, share, 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }
    }

    /** Replaces the faults to inject. */
    public void setFaults(Faults faults) {
        this.faults = faults;
    }

    /** Returns the number of reads requested, including failed ones. */
    public long reads() {
        return reads;
    }

    /** Returns the number of writes requested, including failed ones. */
    public long writes() {
        return writes;
    }

    @Override
    public CompletableFuture<List<StoredRow>> read(List<String> keys) {
        reads++;
        return call(false, () -> inner.read(keys));
    }

    @Override
    public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        reads++;
        return call(false, () -> inner.scan(prefix, afterKey, limit));
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        writes++;
        return call(true, () -> inner.commit(transaction));
    }

    private <T> CompletableFuture<T> call(boolean write, Supplier<CompletableFuture<T>> action) {
        if (overLimit(write)) {
            return failed(ResultCode.PLATFORM_RATE_LIMITED, "injected fault: rate limit exceeded");
        }
        if (faults.outage() || random.nextDouble() < faults.refusedShare()) {
            return failed(ResultCode.PLATFORM_UNREACHABLE, "injected fault: call failed without effect");
        }
        boolean responseLost = write && random.nextDouble() < faults.lostAnswerShare();
        Duration latency = random.nextDouble() < faults.slowShare() ? faults.slowLatency() : faults.latency();
        return delayBy(latency).thenCompose(sent -> action.get()).thenCompose(result -> delayBy(latency)
                .thenCompose(received -> responseLost
                        ? failed(ResultCode.PLATFORM_UNKNOWN, "injected fault: response lost after the write")
                        : CompletableFuture.completedFuture(result)));
    }

    private CompletableFuture<Void> delayBy(Duration duration) {
        return duration.isZero() ? CompletableFuture.completedFuture(null) : delay.after(duration);
    }

    private boolean overLimit(boolean write) {
        long second = time.monotonicMillis() / 1_000;
        if (second != windowSecond) {
            windowSecond = second;
            windowReads = 0;
            windowWrites = 0;
        }
        return write ? ++windowWrites > faults.writesPerSecond() : ++windowReads > faults.readsPerSecond();
    }

    private static <T> CompletableFuture<T> failed(ResultCode code, String detail) {
        return CompletableFuture.failedFuture(new FirwheelException(code, detail, Duration.ofMillis(500)));
    }
}
