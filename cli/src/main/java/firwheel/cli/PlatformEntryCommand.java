package firwheel.cli;

import firwheel.platform.PlatformEntry;
import firwheel.platform.PlatformSettings;
import java.io.File;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs an entry on the users' platform until SIGTERM or SIGINT arrives. */
final class PlatformEntryCommand implements Command {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double DRAIN_FRACTION_OF_GRACE_PERIOD = 0.95; // the rest is for exiting before SIGKILL

    @Option(name = "--settings", metaVar = "FILE", usage = "settings file; default: value of FIRWHEEL_SETTINGS")
    private File settingsFile = PlatformRunner.defaultSettings();

    @Override
    public ExitCode run() {
        return PlatformRunner.run(settingsFile, PlatformEntry::start, PlatformEntryCommand::drainTimeout);
    }

    private static Duration drainTimeout(PlatformSettings settings) {
        return Duration.ofMillis(
                (long) (settings.shutdownGraceSeconds() * DRAIN_FRACTION_OF_GRACE_PERIOD * MILLIS_PER_SECOND));
    }
}
