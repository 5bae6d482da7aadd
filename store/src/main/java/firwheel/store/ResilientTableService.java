package firwheel.store;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Table service with a time limit for each call, a circuit breaker, and retries of reads with jittered backoff. Writes
 * are never repeated here: whoever writes settles a lost answer first.
 */
public final class ResilientTableService implements TableService {
    private final TableService delegate;
    private final Delay delay;
    private final DoubleSupplier jitter;
    private final Limits limits;
    private final CircuitBreaker breaker;

    /**
     * Limits of the calls.
     *
     * @param timeout time limit of one call
     * @param maxReadAttempts attempts of a read
     * @param initialBackoff mean wait before the second attempt; doubles with each attempt
     * @param failureThreshold failures in a row that open the breaker
     * @param openDuration time that the breaker stays open
     */
    public record Limits(
            Duration timeout,
            int maxReadAttempts,
            Duration initialBackoff,
            int failureThreshold,
            Duration openDuration) {
        /** Limits of regular polls: the next poll is the retry. */
        public static final Limits POLLING =
                new Limits(Duration.ofMillis(800), 1, Duration.ofMillis(100), 5, Duration.ofSeconds(1));

        /** Limits of an operator's command. */
        public static final Limits COMMAND =
                new Limits(Duration.ofSeconds(3), 4, Duration.ofMillis(100), 100, Duration.ofSeconds(1));
    }

    /** Creates a service around {@code inner}; {@code jitter} gives numbers from 0 to 1. */
    public ResilientTableService(
            TableService delegate, TimeSource time, Delay delay, DoubleSupplier jitter, Limits limits) {
        this.delegate = delegate;
        this.delay = delay;
        this.jitter = jitter;
        this.limits = limits;
        this.breaker = new CircuitBreaker(time, limits.failureThreshold(), limits.openDuration());
    }

    @Override
    public CompletableFuture<List<StoredRow>> read(List<String> keys) {
        return withRetries(() -> delegate.read(keys), 1);
    }

    @Override
    public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        return withRetries(() -> delegate.scan(prefix, afterKey, limit), 1);
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        return callOnce(() -> delegate.commit(transaction), ResultCode.PLATFORM_UNKNOWN);
    }

    private <T> CompletableFuture<T> withRetries(Supplier<CompletableFuture<T>> call, int attempt) {
        CompletableFuture<T> result = callOnce(call, ResultCode.PLATFORM_UNREACHABLE);
        if (attempt >= limits.maxReadAttempts()) {
            return result;
        }
        return result.exceptionallyCompose(error -> {
            Duration backoff = limits.initialBackoff().multipliedBy(1L << Math.min(attempt - 1, 10));
            Duration jittered = Duration.ofNanos((long) (backoff.toNanos() * 2 * jitter.getAsDouble()));
            return delay.after(jittered).thenCompose(done -> withRetries(call, attempt + 1));
        });
    }

    private <T> CompletableFuture<T> callOnce(Supplier<CompletableFuture<T>> call, ResultCode onTimeout) {
        if (!breaker.tryAcquirePermission()) {
            return CompletableFuture.failedFuture(new FirwheelException(
                    ResultCode.PLATFORM_UNREACHABLE, "the circuit breaker is open", limits.openDuration()));
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        var unusedCall = call.get().whenComplete((value, error) -> {
            if (error == null) {
                answer.complete(value);
            } else {
                answer.completeExceptionally(FirwheelException.of(error));
            }
        });
        var unusedTimer = delay.after(limits.timeout())
                .thenRun(() -> answer.completeExceptionally(new FirwheelException(onTimeout, "no answer in time")));
        return answer.whenComplete((value, error) -> breaker.recordResult(error == null));
    }
}
