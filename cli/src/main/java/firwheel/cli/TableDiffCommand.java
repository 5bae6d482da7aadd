package firwheel.cli;

import firwheel.model.TableSnapshot;
import firwheel.table.AuditRecord;
import firwheel.table.AuditTrail;
import firwheel.table.RowChange;
import firwheel.table.TableDiff;
import firwheel.table.TableMerge;
import java.io.File;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints what applying a table file would change, and its conflicts with changes made since its revision. */
final class TableDiffCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "table file in CSV")
    private File file = new File("");

    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Override
    public ExitCode run() {
        TableInput input = TableInput.read(file);
        if (input.printProblems()) {
            return ExitCode.BAD_INPUT;
        }
        try (PlatformConnection platform = new PlatformConnection(platformUrl)) {
            long revision = input.file().revision();
            TableSnapshot base = PlatformConnection.await(platform.reader().readAtRevision(revision));
            List<AuditRecord> since = PlatformConnection.await(platform.reader().readAuditRecords(revision));
            List<RowChange> changes = TableDiff.between(base, input.file().snapshot());
            TableMerge merge = TableMerge.of(base, changes, since);
            merge.remaining().forEach(change -> AuditTrail.formatLines(change).forEach(System.out::println));
            merge.conflicts()
                    .forEach(conflict -> AuditTrail.formatLines(conflict).forEach(System.err::println));
            System.out.println(merge.remaining().size() + " rows to change, " + since.size()
                    + " changes since revision " + revision);
            return merge.conflicts().isEmpty() ? ExitCode.SUCCESS : ExitCode.CONFLICT;
        }
    }
}
