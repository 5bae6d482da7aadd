package firwheel.cli;

import firwheel.platform.PlatformAgent;
import firwheel.platform.PlatformSettings;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an agent beside a rank on the users' platform until a signal arrives. */
final class PlatformAgentCommand implements Command {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(2); // longer than a rollout holds a pass

    @Option(name = "--settings", metaVar = "FILE", usage = "settings; default: what FIRWHEEL_SETTINGS names")
    private File settingsFile = new File(System.getenv().getOrDefault("FIRWHEEL_SETTINGS", ""));

    @Override
    public ExitCode run() {
        PlatformSettings settings = PlatformSettings.read(settingsFile.toPath());
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        PlatformAgent agent = EventLoops.start(vertx, () -> PlatformAgent.start(vertx, settings))
                .join();
        Signals.handle("HUP", () -> {});
        return Shutdown.awaitSignal(agent::stop, () -> {}, STOP_LIMIT);
    }
}
