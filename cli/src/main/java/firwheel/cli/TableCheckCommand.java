package firwheel.cli;

import java.io.File;
import org.kohsuke.args4j.Argument;

/** Validates a table file and prints all errors at once. */
final class TableCheckCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "table file in CSV")
    private File file = new File("");

    @Override
    public ExitCode run() {
        TableInput input = TableInput.read(file);
        if (input.printProblems()) {
            return ExitCode.BAD_INPUT;
        }
        System.out.println("ok: " + input.file().rows().size() + " rows, from revision "
                + input.file().revision());
        return ExitCode.SUCCESS;
    }
}
