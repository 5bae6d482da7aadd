package firwheel.cli;

import java.io.File;
import org.kohsuke.args4j.Argument;

/** Validates a settings file without starting a process. */
final class CheckSettingsCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "settings file in JSON")
    private File settingsFile = new File("");

    @Override
    public ExitCode run() {
        SettingsFile settings = SettingsFile.read(settingsFile, System.getenv());
        System.out.println(
                settingsFile + ": valid settings of an " + settings.role().label());
        return ExitCode.SUCCESS;
    }
}
