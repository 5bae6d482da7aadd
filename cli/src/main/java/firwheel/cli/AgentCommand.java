package firwheel.cli;

import firwheel.agent.AgentServer;
import firwheel.agent.AgentSettings;
import io.vertx.core.Vertx;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an agent until SIGTERM or SIGINT arrives. */
final class AgentCommand implements Command {
    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings file in JSON")
    private File settingsFile = new File("");

    @Override
    public ExitCode run() {
        AgentSettings settings = SettingsFile.readAndApply(settingsFile, SettingsRole.AGENT, AgentSettings.class);
        Shutdown shutdown = Shutdown.handleSignals(
                Duration.ofMillis(settings.drainLimitMillis()).plus(Shutdown.AFTER_DRAIN_LIMIT));
        Vertx vertx = Vertx.vertx();
        AgentServer agent = AgentServer.start(vertx, settings).join();
        System.out.println("ready agent=" + settings.ip() + ":" + agent.port());
        return shutdown.await(agent::drain, agent::forceDrain);
    }
}
