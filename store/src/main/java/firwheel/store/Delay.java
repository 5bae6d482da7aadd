package firwheel.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Completes a future after some time. Passed in, so that tests run on virtual time. */
@FunctionalInterface
public interface Delay {
    /** Returns a future that completes after {@code duration}. */
    CompletableFuture<Void> after(Duration duration);

    /** Returns the delay of the running machine. */
    static Delay system() {
        return duration -> CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(duration.toNanos(), TimeUnit.NANOSECONDS));
    }
}
