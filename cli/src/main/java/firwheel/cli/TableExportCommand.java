package firwheel.cli;

import firwheel.table.TableCsv;
import org.kohsuke.args4j.Option;

/** Prints the table with its revision as CSV. */
final class TableExportCommand implements Command {
    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Override
    public ExitCode run() {
        try (OperatorPlatform platform = new OperatorPlatform(platformUrl)) {
            System.out.print(
                    TableCsv.write(OperatorPlatform.await(platform.reader().read())));
            return ExitCode.DONE;
        }
    }
}
