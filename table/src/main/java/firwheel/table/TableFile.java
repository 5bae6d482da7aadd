package firwheel.table;

import firwheel.model.TableSnapshot;
import java.util.Comparator;
import java.util.List;

/**
 * Result of parsing a table file.
 *
 * @param revision base revision that the file carries; 0 when it carries none
 * @param rows rows that could be parsed, in file order
 * @param problems mistakes in syntax and fields, in file order
 */
public record TableFile(long revision, List<NumberedRow> rows, List<TableProblem> problems) {
    public TableFile {
        rows = List.copyOf(rows);
        problems = List.copyOf(problems);
    }

    /** Returns the rows, ordered by name, as a table at the base revision. */
    public TableSnapshot snapshot() {
        return new TableSnapshot(
                revision,
                rows.stream()
                        .map(NumberedRow::row)
                        .sorted(Comparator.comparing(row -> row.name()))
                        .toList());
    }
}
