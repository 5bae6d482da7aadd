package firwheel.cli;

import firwheel.model.FirwheelException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Waits until the process is told to stop (SIGTERM or SIGINT), drains, and exits with 0 when nothing was cut. */
final class Shutdown {
    private static final Duration GRACE_BEYOND_DRAIN_LIMIT = Duration.ofSeconds(5);

    private Shutdown() {}

    /** Blocks for good; {@code drain} runs once when a signal arrives. */
    static ExitCode awaitSignal(Supplier<CompletableFuture<Void>> drain, Duration drainLimit) {
        Thread hook = new Thread(
                () -> Runtime.getRuntime().halt(drainNow(drain, drainLimit).number()), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.DONE;
    }

    private static ExitCode drainNow(Supplier<CompletableFuture<Void>> drain, Duration drainLimit) {
        try {
            drain.get().get(drainLimit.plus(GRACE_BEYOND_DRAIN_LIMIT).toMillis(), TimeUnit.MILLISECONDS);
            return ExitCode.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (ExecutionException | TimeoutException e) {
            System.err.println(FirwheelException.of(e).getMessage());
            return ExitCode.FAILED;
        }
    }
}
