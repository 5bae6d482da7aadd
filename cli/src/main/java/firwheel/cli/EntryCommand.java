package firwheel.cli;

import firwheel.entry.EntryServer;
import firwheel.entry.EntrySettings;
import firwheel.routing.RandomSource;
import firwheel.routing.RoutingPolicies;
import io.vertx.core.Vertx;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an entry until SIGTERM or SIGINT arrives. */
final class EntryCommand implements Command {
    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings file in JSON")
    private File settingsFile = new File("");

    @Override
    public ExitCode run() {
        EntrySettings settings = SettingsFile.readAndApply(settingsFile, SettingsRole.ENTRY, EntrySettings.class);
        Shutdown shutdown = Shutdown.handleSignals(
                Duration.ofMillis(settings.drainLimitMillis()).plus(Shutdown.AFTER_DRAIN_LIMIT));
        Vertx vertx = Vertx.vertx();
        EntryServer entry = EntryServer.start(
                        vertx,
                        settings,
                        TableSources.forEntry(vertx, settings),
                        RoutingPolicies.TOKEN_AWARE.create(RandomSource.threadLocal()))
                .join();
        System.out.println("ready entry=http://" + settings.ip() + ":" + entry.port());
        return shutdown.await(entry::drain, entry::forceDrain);
    }
}
