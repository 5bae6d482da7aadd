package firwheel.cli;

/** Prints the version. */
final class VersionCommand implements Command {
    private static final String VERSION = "0.1.0";

    @Override
    public ExitCode run() {
        System.out.println("firwheel " + VERSION);
        return ExitCode.SUCCESS;
    }
}
