package firwheel.cli;

import firwheel.table.TableCsv;
import org.kohsuke.args4j.Option;

/** Prints the table with its revision as CSV. */
final class TableExportCommand implements Command {
    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Override
    public ExitCode run() {
        try (PlatformConnection platform = new PlatformConnection(platformUrl)) {
            System.out.print(
                    TableCsv.write(PlatformConnection.await(platform.reader().read())));
            return ExitCode.SUCCESS;
        }
    }
}
