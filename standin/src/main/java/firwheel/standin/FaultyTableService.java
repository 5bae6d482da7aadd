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

/** Table service with seeded faults around another one. Counts reads and writes. Not thread-safe. */
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

    /** Creates a service without faults around {@code inner}. */
    public FaultyTableService(TableService inner, TimeSource time, Delay delay, long seed) {
        this.inner = inner;
        this.time = time;
        this.delay = delay;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Faults in force.
     *
     * @param outage whether nothing is answered and nothing takes effect
     * @param latency time from call to effect, and again from effect to answer
     * @param slowShare share of the calls whose latency is {@code slowLatency}
     * @param slowLatency latency of slow calls
     * @param lostAnswerShare share of the writes that take effect while their answer is lost
     * @param refusedShare share of the calls that fail without effect
     * @param readsPerSecond reads allowed in each second
     * @param writesPerSecond writes allowed in each second
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

        /** Returns faults of an outage. */
        public static Faults unavailable() {
            return new Faults(true, Duration.ZERO, 0, Duration.ZERO, 0, 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }

        /** Returns faults where {@code share} of the writes lose their answer. */
        public static Faults withLostAnswers(double share) {
            return new Faults(
                    false, Duration.ofMillis(2), 0, Duration.ZERO, share, 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }
    }

    /** Replaces the faults in force. */
    public void setFaults(Faults faults) {
        this.faults = faults;
    }

    /** Returns the number of reads asked for. */
    public long reads() {
        return reads;
    }

    /** Returns the number of writes asked for. */
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
            return failed(ResultCode.PLATFORM_RATE_LIMITED, "rate limit");
        }
        if (faults.outage() || random.nextDouble() < faults.refusedShare()) {
            return failed(ResultCode.PLATFORM_UNREACHABLE, "outage");
        }
        boolean responseLost = write && random.nextDouble() < faults.lostAnswerShare();
        Duration latency = random.nextDouble() < faults.slowShare() ? faults.slowLatency() : faults.latency();
        return delayBy(latency).thenCompose(sent -> action.get()).thenCompose(answer -> delayBy(latency)
                .thenCompose(received -> responseLost
                        ? failed(ResultCode.PLATFORM_UNKNOWN, "answer lost")
                        : CompletableFuture.completedFuture(answer)));
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
