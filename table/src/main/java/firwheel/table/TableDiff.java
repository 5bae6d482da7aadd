package firwheel.table;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Differences between tables, and tables made from differences. */
public final class TableDiff {
    private TableDiff() {}

    /** Returns the changes, ordered by name, that turn {@code from} into {@code to}. */
    public static List<RowChange> changes(TableSnapshot from, TableSnapshot to) {
        SortedMap<String, TargetRow> before = byName(from.rows());
        SortedMap<String, TargetRow> after = byName(to.rows());
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        List<RowChange> changes = new ArrayList<>();
        for (String name : names) {
            TargetRow old = before.get(name);
            TargetRow changed = after.get(name);
            if (old == null || !old.equals(changed)) {
                changes.add(new RowChange(name, old, changed));
            }
        }
        return changes;
    }

    /** Returns the table after {@code changes}, at {@code revision}. */
    public static TableSnapshot apply(TableSnapshot base, Collection<RowChange> changes, long revision) {
        SortedMap<String, TargetRow> rows = byName(base.rows());
        for (RowChange change : changes) {
            TargetRow after = change.after();
            if (after == null) {
                rows.remove(change.name());
            } else {
                rows.put(change.name(), after);
            }
        }
        return new TableSnapshot(revision, List.copyOf(rows.values()));
    }

    /** Returns the table before {@code records}, which follow {@code revision} without gaps. */
    static TableSnapshot undo(TableSnapshot present, List<AuditRecord> records, long revision) {
        List<RowChange> backwards = records.stream()
                .sorted(Comparator.comparingLong(AuditRecord::revision).reversed())
                .flatMap(record -> record.changes().stream())
                .map(change -> new RowChange(change.name(), change.after(), change.before()))
                .toList();
        return apply(present, backwards, revision);
    }

    private static SortedMap<String, TargetRow> byName(List<TargetRow> rows) {
        TreeMap<String, TargetRow> byName = new TreeMap<>();
        rows.forEach(row -> byName.put(row.name(), row));
        return byName;
    }
}
