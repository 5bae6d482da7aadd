package firwheel.model;

import java.util.List;
import java.util.Optional;

/**
 * Immutable snapshot of the whole table at one revision.
 *
 * @param revision incremented with each accepted change; 0 for the empty table before the first change
 * @param rows rows ordered by name
 */
public record TableSnapshot(long revision, List<TargetRow> rows) {
    /** The table before the first change. */
    public static final TableSnapshot EMPTY = new TableSnapshot(0, List.of());

    public TableSnapshot {
        rows = List.copyOf(rows);
        if (revision < 0) {
            throw new IllegalArgumentException("revision must not be negative: " + revision);
        }
    }

    /** Returns the row with the given name, if there is one. */
    public Optional<TargetRow> row(String name) {
        return rows.stream().filter(row -> row.name().equals(name)).findFirst();
    }
}
