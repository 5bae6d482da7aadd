package firwheel.cli;

import firwheel.model.FirwheelException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs a process until SIGTERM or SIGINT, then drains it. A second signal cuts what still runs. The exit code is 0 only
 * after a whole drain.
 */
final class Shutdown {
    private static final Duration GRACE_AFTER_DRAIN_LIMIT = Duration.ofSeconds(5);

    private static final Duration ABORT_GRACE_PERIOD = Duration.ofSeconds(2);

    private final Supplier<CompletableFuture<Void>> drain;
    private final Runnable abort;
    private final Duration timeout;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<ExitCode> exit = new CompletableFuture<>();

    Shutdown(Supplier<CompletableFuture<Void>> drain, Runnable abort, Duration timeout) {
        this.drain = drain;
        this.abort = abort;
        this.timeout = timeout;
    }

    /** Blocks until a signal has arrived and {@code drain} has ended; {@code cut} ends it early with explicit failures. */
    static ExitCode awaitSignal(Supplier<CompletableFuture<Void>> drain, Runnable abort, Duration drainLimit) {
        Shutdown shutdown = new Shutdown(drain, abort, drainLimit.plus(GRACE_AFTER_DRAIN_LIMIT));
        Signals.handle("TERM", shutdown::onSignal);
        Signals.handle("INT", shutdown::onSignal);
        return shutdown.exit().join();
    }

    /** Returns the exit code, once known. */
    CompletableFuture<ExitCode> exit() {
        return exit;
    }

    /** Drains at the first call and gives up at the second. */
    void onSignal() {
        if (draining.compareAndSet(false, true)) {
            var unused = drain.get()
                    .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((done, error) -> exit.complete(exitCode(error)));
        } else {
            System.err.println("second signal: running requests are cut");
            abort.run();
            exit.completeOnTimeout(ExitCode.FAILED, ABORT_GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private static ExitCode exitCode(@Nullable Throwable error) {
        if (error == null) {
            return ExitCode.SUCCESS;
        }
        System.err.println(
                error instanceof TimeoutException
                        ? "drain did not end in time; running requests are cut"
                        : FirwheelException.of(error).getMessage());
        return ExitCode.FAILED;
    }
}
