package firwheel.cli;

import firwheel.platform.PlatformEntry;
import firwheel.platform.PlatformSettings;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an entry on the users' platform until a signal arrives. */
final class PlatformEntryCommand implements Command {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double DRAIN_SHARE_OF_GRACE = 0.95; // the rest is for leaving before SIGKILL

    @Option(name = "--settings", metaVar = "FILE", usage = "settings; default: what FIRWHEEL_SETTINGS names")
    private File settingsFile = new File(System.getenv().getOrDefault("FIRWHEEL_SETTINGS", ""));

    @Override
    public ExitCode run() {
        PlatformSettings settings = PlatformSettings.read(settingsFile.toPath());
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        PlatformEntry entry = EventLoops.start(vertx, () -> PlatformEntry.start(vertx, settings))
                .join();
        Signals.handle("HUP", () -> {});
        Duration drainLimit =
                Duration.ofMillis((long) (settings.shutdownGraceSeconds() * DRAIN_SHARE_OF_GRACE * MILLIS_PER_SECOND));
        return Shutdown.awaitSignal(entry::drain, () -> {}, drainLimit);
    }
}
