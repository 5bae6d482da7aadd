package firwheel.cli;

import java.io.File;
import org.kohsuke.args4j.Argument;

/** Checks a settings file without starting anything. */
final class CheckSettingsCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "settings in JSON")
    private File settingsFile = new File("");

    @Override
    public ExitCode run() {
        SettingsFile settings = SettingsFile.read(settingsFile, System.getenv());
        System.out.println(
                settingsFile + ": valid settings of an " + settings.role().label());
        return ExitCode.SUCCESS;
    }
}
