package firwheel.table;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Three-way merge of a change with the changes committed since its base. Edits of different rows merge; edits of the
 * same row conflict, unless both result in the same row.
 *
 * @param present current table in the store
 * @param remaining changes still to be written
 * @param conflicts rows that the two sides changed differently
 * @param result table with the remaining changes applied, at the next revision
 */
public record TableMerge(
        TableSnapshot present, List<RowChange> remaining, List<RowConflict> conflicts, TableSnapshot result) {
    public TableMerge {
        remaining = List.copyOf(remaining);
        conflicts = List.copyOf(conflicts);
    }

    /**
     * Merges {@code ours}, made on {@code base}, with the changes in {@code since}, the audit records that follow
     * {@code base}.
     */
    public static TableMerge of(TableSnapshot base, List<RowChange> ours, List<AuditRecord> since) {
        TableSnapshot present = base;
        Map<String, AuditRecord> lastEdit = new HashMap<>();
        for (AuditRecord record : since) {
            present = TableDiff.apply(present, record.changes(), record.revision());
            record.changes().forEach(change -> lastEdit.put(change.name(), record));
        }
        Map<String, TargetRow> presentRows = new HashMap<>();
        present.rows().forEach(row -> presentRows.put(row.name(), row));
        List<RowChange> remaining = new ArrayList<>();
        List<RowConflict> conflicts = new ArrayList<>();
        for (RowChange change : ours) {
            TargetRow theirs = presentRows.get(change.name());
            AuditRecord other = lastEdit.get(change.name());
            if (Objects.equals(theirs, change.after())) {
                continue;
            }
            if (other == null || Objects.equals(theirs, change.before())) {
                remaining.add(change);
            } else {
                conflicts.add(conflict(change, theirs, other));
            }
        }
        long next = present.revision() + 1;
        return new TableMerge(present, remaining, conflicts, TableDiff.apply(present, remaining, next));
    }

    private static RowConflict conflict(RowChange ours, @Nullable TargetRow theirs, AuditRecord other) {
        return new RowConflict(
                ours.name(),
                ours.before(),
                ours.after(),
                theirs,
                other.author(),
                other.reason(),
                other.revision(),
                other.atMillis());
    }
}
