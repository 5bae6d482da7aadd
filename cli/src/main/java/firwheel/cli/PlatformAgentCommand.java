package firwheel.cli;

import firwheel.platform.PlatformAgent;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an agent beside a rank on the users' platform until a signal arrives. */
final class PlatformAgentCommand implements Command {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2); // longer than a rollout holds a pass

    @Option(name = "--settings", metaVar = "FILE", usage = "settings; default: what FIRWHEEL_SETTINGS names")
    private File settingsFile = PlatformRunner.defaultSettings();

    @Override
    public ExitCode run() {
        return PlatformRunner.run(settingsFile, PlatformAgent::start, settings -> STOP_TIMEOUT);
    }
}
