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

/** Computes and applies differences between tables. */
public final class TableDiff {
    private static final Comparator<TargetRow> BY_NAME = Comparator.comparing(TargetRow::name);

    private TableDiff() {}

    /** Returns the changes, sorted by name, that turn {@code from} into {@code to}. */
    public static List<RowChange> between(TableSnapshot from, TableSnapshot to) {
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

    /** Returns {@code base} with {@code changes} applied, at {@code revision}. */
    public static TableSnapshot apply(TableSnapshot base, Collection<RowChange> changes, long revision) {
        List<TargetRow> rows = new ArrayList<>(base.rows());
        if (!isSorted(rows)) {
            rows.sort(BY_NAME);
        }
        for (RowChange change : changes) {
            replace(rows, change);
        }
        return new TableSnapshot(revision, rows);
    }

    private static void replace(List<TargetRow> rows, RowChange change) {
        int index = indexOf(rows, change.name());
        TargetRow after = change.after();
        if (after == null) {
            if (index >= 0) {
                rows.remove(index);
            }
        } else if (index >= 0) {
            rows.set(index, after);
        } else {
            rows.add(-index - 1, after);
        }
    }

    private static int indexOf(List<TargetRow> rows, String name) {
        int low = 0;
        int high = rows.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = rows.get(middle).name().compareTo(name);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }

    private static boolean isSorted(List<TargetRow> rows) {
        for (int i = 1; i < rows.size(); i++) {
            if (BY_NAME.compare(rows.get(i - 1), rows.get(i)) > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Undoes {@code records}, the consecutive audit records after {@code revision}, and returns the table at that
     * revision.
     */
    static TableSnapshot undo(TableSnapshot present, List<AuditRecord> records, long revision) {
        List<RowChange> inverse = records.stream()
                .sorted(Comparator.comparingLong(AuditRecord::revision).reversed())
                .flatMap(record -> record.changes().stream())
                .map(change -> new RowChange(change.name(), change.after(), change.before()))
                .toList();
        return apply(present, inverse, revision);
    }

    private static SortedMap<String, TargetRow> byName(List<TargetRow> rows) {
        TreeMap<String, TargetRow> byName = new TreeMap<>();
        rows.forEach(row -> byName.put(row.name(), row));
        return byName;
    }
}
