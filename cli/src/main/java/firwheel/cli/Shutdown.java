package firwheel.cli;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a process until SIGTERM or SIGINT, then drains it. SIGINT while it drains, as by a second Ctrl-C, aborts the
 * requests that are still running; SIGTERM does not, since supervisors repeat it. The exit code is 0 only if the drain
 * completed.
 */
final class Shutdown {
    /** A signal that ends the process. */
    enum StopSignal {
        TERM,
        INT
    }

    private enum Effect {
        DRAIN,
        ABORT,
        NONE
    }

    /**
     * How to end a process that has started.
     *
     * @param drain ends it once its requests have ended
     * @param abort fails the requests that are still running
     */
    private record Stop(Supplier<CompletableFuture<Void>> drain, Runnable abort) {}

    /** Time from the drain limit of a process, at which it fails what still runs, until it ends. */
    static final Duration AFTER_DRAIN_LIMIT = Duration.ofSeconds(5);

    private static final Logger logger = LoggerFactory.getLogger(Shutdown.class);
    private static final Duration ABORT_GRACE_PERIOD = Duration.ofSeconds(2);

    private final Duration timeout;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Stop> started = new CompletableFuture<>();
    private final CompletableFuture<ExitCode> exit = new CompletableFuture<>();

    /** Creates a shutdown that fails if the drain has not ended {@code timeout} after the first signal. */
    Shutdown(Duration timeout) {
        this.timeout = timeout;
    }

    /**
     * Handles signals from now on. Must be called before the process accepts requests: until then a signal ends it at
     * once.
     */
    static Shutdown handleSignals(Duration timeout) {
        Shutdown shutdown = new Shutdown(timeout);
        for (StopSignal stopSignal : StopSignal.values()) {
            Signals.handle(stopSignal.name(), () -> shutdown.onSignal(stopSignal));
        }
        return shutdown;
    }

    /** Blocks until a process that has started has been drained. */
    ExitCode await(Supplier<CompletableFuture<Void>> drain, Runnable abort) {
        onStarted(drain, abort);
        return exit().join();
    }

    /** Records that the process has started; it is drained at once if a signal has arrived. */
    void onStarted(Supplier<CompletableFuture<Void>> drain, Runnable abort) {
        started.complete(new Stop(drain, abort));
    }

    /** Returns a future that completes with the exit code when the shutdown has ended. */
    CompletableFuture<ExitCode> exit() {
        return exit;
    }

    void onSignal(StopSignal stopSignal) {
        boolean first = draining.compareAndSet(false, true);
        Effect effect = first ? Effect.DRAIN : stopSignal == StopSignal.INT ? Effect.ABORT : Effect.NONE;
        Events.log(
                logger,
                EventCode.SIGNAL_RECEIVED,
                "signal",
                stopSignal,
                "effect",
                effect.name().toLowerCase(Locale.ROOT),
                "started",
                started.isDone());
        switch (effect) {
            case DRAIN -> drain();
            case ABORT -> abort();
            case NONE -> {}
        }
    }

    private void drain() {
        var unused = started.thenCompose(stop -> stop.drain().get())
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((done, error) -> exit.complete(exitCode(error)));
    }

    private void abort() {
        System.err.println("interrupted while draining; aborting running requests");
        var unused = started.thenAccept(stop -> stop.abort().run());
        exit.completeOnTimeout(ExitCode.FAILED, ABORT_GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static ExitCode exitCode(@Nullable Throwable error) {
        if (error == null) {
            return ExitCode.SUCCESS;
        }
        System.err.println(
                error instanceof TimeoutException
                        ? "drain timed out; exiting although requests may still be running"
                        : FirwheelException.of(error).getMessage());
        return ExitCode.FAILED;
    }
}
