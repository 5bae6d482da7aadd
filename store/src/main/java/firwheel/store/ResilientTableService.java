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
 * Adds a timeout for each call, a circuit breaker, and retries of reads with jittered exponential backoff to a table
 * service. Writes are not retried here: the caller must first find out whether a write without a response was applied.
 */
public final class ResilientTableService implements TableService {
    private final TableService delegate;
    private final Delay delay;
    private final DoubleSupplier jitter;
    private final Limits limits;
    private final CircuitBreaker breaker;

    /**
     * Timeouts and retry limits of the calls.
     *
     * @param timeout timeout of one attempt
     * @param maxReadAttempts maximum number of attempts of a read
     * @param initialBackoff mean delay before the second attempt; doubles with each further attempt
     * @param failureThreshold consecutive failures that open the circuit breaker
     * @param openDuration time for which the circuit breaker stays open
     */
    public record Limits(
            Duration timeout,
            int maxReadAttempts,
            Duration initialBackoff,
            int failureThreshold,
            Duration openDuration) {
        /** Limits for periodic polls. Reads are not retried, since the next poll reads again. */
        public static final Limits POLLING =
                new Limits(Duration.ofMillis(800), 1, Duration.ofMillis(100), 5, Duration.ofSeconds(1));

        /** Limits for operator commands. */
        public static final Limits COMMAND =
                new Limits(Duration.ofSeconds(3), 4, Duration.ofMillis(100), 100, Duration.ofSeconds(1));
    }

    /** Creates a service that calls {@code delegate}; {@code jitter} returns random numbers in [0, 1]. */
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
        CompletableFuture<T> response = new CompletableFuture<>();
        var unusedCall = call.get().whenComplete((value, error) -> {
            if (error == null) {
                response.complete(value);
            } else {
                response.completeExceptionally(FirwheelException.of(error));
            }
        });
        var unusedTimer = delay.after(limits.timeout())
                .thenRun(() -> response.completeExceptionally(
                        new FirwheelException(onTimeout, "no response within the timeout")));
        return response.whenComplete((value, error) -> breaker.recordResult(error == null));
    }
}
