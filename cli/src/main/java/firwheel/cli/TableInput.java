package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.table.TableCsv;
import firwheel.table.TableFile;
import firwheel.table.TableProblem;
import firwheel.table.TableValidator;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A table file given on the command line, with all problems found in it.
 *
 * @param text content of the file
 * @param file parsed content
 * @param problems all problems, ordered by line
 */
record TableInput(String text, TableFile file, List<TableProblem> problems) {
    static TableInput read(File path) {
        String text;
        try {
            text = Files.readString(path.toPath());
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.TABLE_SYNTAX, "cannot read " + path, Duration.ZERO, e);
        }
        TableFile file = TableCsv.parse(text);
        List<TableProblem> problems = new ArrayList<>(file.problems());
        problems.addAll(TableValidator.validate(file.rows()));
        problems.sort(Comparator.comparingInt(TableProblem::line));
        return new TableInput(text, file, problems);
    }

    /** Prints the problems to standard error and returns whether there are any. */
    boolean printProblems() {
        problems.forEach(problem -> System.err.println(problem));
        return !problems.isEmpty();
    }
}
