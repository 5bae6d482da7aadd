package firwheel.cli;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.Futures;
import firwheel.platform.PlatformProcess;
import firwheel.platform.PlatformSettings;
import firwheel.platform.SettingsFileWatcher;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.File;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a process on the users' platform until SIGTERM or SIGINT arrives, and applies changes of its settings file. */
final class PlatformRunner {
    /** Starts a process on an event loop. */
    @FunctionalInterface
    interface Starter {
        CompletableFuture<? extends PlatformProcess> start(Vertx vertx, PlatformSettings settings);
    }

    private static final Logger logger = LoggerFactory.getLogger(PlatformRunner.class);

    private PlatformRunner() {}

    /** Returns the settings file that the environment variable FIRWHEEL_SETTINGS names, as the default of an option. */
    static File defaultSettings() {
        return new File(System.getenv().getOrDefault("FIRWHEEL_SETTINGS", ""));
    }

    static ExitCode run(File file, Starter starter, Function<PlatformSettings, Duration> stopTimeout) {
        PlatformSettings settings = PlatformSettings.read(file.toPath());
        CompletableFuture<PlatformProcess> process = new CompletableFuture<>();
        SettingsFileWatcher watcher =
                new SettingsFileWatcher(file.toPath(), settings, changed -> apply(process, changed));
        Shutdown shutdown = Shutdown.handleSignals(stopTimeout.apply(settings));
        Signals.handle("HUP", () -> {
            Events.log(logger, EventCode.SIGNAL_RECEIVED, "signal", "HUP", "effect", "reload");
            watcher.reloadIfChanged();
        });
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Futures.forward(
                EventLoops.deploy(
                        vertx, () -> starter.start(vertx, settings).<PlatformProcess>thenApply(started -> started)),
                process);
        PlatformProcess started = process.join();
        watcher.start(vertx);
        return shutdown.await(started::stop, started::abort);
    }

    private static void apply(CompletableFuture<PlatformProcess> process, PlatformSettings changed) {
        var unused = process.thenAccept(started -> started.apply(changed));
    }
}
