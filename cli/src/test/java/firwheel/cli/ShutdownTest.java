package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class ShutdownTest {
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final AtomicInteger cuts = new AtomicInteger();
    private final Shutdown shutdown = new Shutdown(() -> drained, cuts::incrementAndGet, Duration.ofMinutes(1));

    private static ExitCode exitCode(Shutdown shutdown) {
        return shutdown.exit().orTimeout(20, TimeUnit.SECONDS).join();
    }

    @Test
    void firstSignalDrains() {
        shutdown.onSignal();

        assertThat(shutdown.exit()).isNotDone();
        drained.complete(null);
        assertThat(exitCode(shutdown)).isEqualTo(ExitCode.DONE);
    }

    @Test
    void secondSignalCuts() {
        shutdown.onSignal();
        assertThat(cuts).hasValue(0);
        shutdown.onSignal();

        assertThat(cuts).hasValue(1);
        assertThat(exitCode(shutdown)).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void drainThatDoesNotEndIsCut() {
        Shutdown limited = new Shutdown(() -> drained, cuts::incrementAndGet, Duration.ofMillis(1));

        limited.onSignal();

        assertThat(exitCode(limited)).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void failedDrainIsAFailure() {
        drained.completeExceptionally(new IllegalStateException("broken"));
        shutdown.onSignal();

        assertThat(exitCode(shutdown)).isEqualTo(ExitCode.FAILED);
    }
}
