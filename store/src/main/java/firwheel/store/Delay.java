package firwheel.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Timer that completes a future after a duration. Injected, so that tests can use virtual time. */
@FunctionalInterface
public interface Delay {
    /** Returns a future that completes after {@code duration}. */
    CompletableFuture<Void> after(Duration duration);

    /** Returns a timer that uses the system clock. */
    static Delay system() {
        return duration -> CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(duration.toNanos(), TimeUnit.NANOSECONDS));
    }
}
