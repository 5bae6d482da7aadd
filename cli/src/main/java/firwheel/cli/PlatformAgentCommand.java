package firwheel.cli;

import firwheel.platform.PlatformAgent;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an agent beside a rank on the users' platform until SIGTERM or SIGINT arrives. */
final class PlatformAgentCommand implements Command {
    // Longer than a map rollout can block a forward pass of the rank.
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(7);

    @Option(name = "--settings", metaVar = "FILE", usage = "settings file; default: value of FIRWHEEL_SETTINGS")
    private File settingsFile = PlatformRunner.defaultSettings();

    @Override
    public ExitCode run() {
        return PlatformRunner.run(settingsFile, PlatformAgent::start, settings -> STOP_TIMEOUT);
    }
}
