package firwheel.table;

import firwheel.model.TableSnapshot;
import java.util.Comparator;
import java.util.List;

/**
 * Result of parsing a table file.
 *
 * @param revision base revision of the file; 0 when it has none
 * @param rows valid rows, in file order
 * @param problems syntax and field problems, in file order
 */
public record TableFile(long revision, List<NumberedRow> rows, List<TableProblem> problems) {
    public TableFile {
        rows = List.copyOf(rows);
        problems = List.copyOf(problems);
    }

    /** Returns the valid rows, sorted by name, as a table at the base revision. */
    public TableSnapshot snapshot() {
        return new TableSnapshot(
                revision,
                rows.stream()
                        .map(NumberedRow::row)
                        .sorted(Comparator.comparing(row -> row.name()))
                        .toList());
    }
}
