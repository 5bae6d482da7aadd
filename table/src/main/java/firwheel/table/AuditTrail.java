package firwheel.table;

import firwheel.model.TargetRow;
import firwheel.store.TableService;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Reads and formats the audit trail. */
public final class AuditTrail {
    private AuditTrail() {}

    /** Reads the committed changes after {@code revision}, oldest first. */
    public static CompletableFuture<List<AuditRecord>> readChanges(TableService service, long revision) {
        return new TableReader(service).readAuditRecords(revision);
    }

    /** Returns the fields that differ before and after a change of a row, in column order. */
    public static List<FieldChange> changedFields(RowChange change) {
        List<FieldChange> fields = new ArrayList<>();
        for (TableColumn column : TableColumn.values()) {
            String before = text(column, change.before());
            String after = text(column, change.after());
            if (!before.equals(after)) {
                fields.add(new FieldChange(column, before, after));
            }
        }
        return fields;
    }

    /** Formats a change of a row as human-readable lines, one for each changed field. */
    public static List<String> formatLines(RowChange change) {
        String kind = change.before() == null ? "added" : change.after() == null ? "removed" : "changed";
        List<String> lines = new ArrayList<>();
        lines.add("row " + change.name() + " " + kind);
        changedFields(change).forEach(field -> lines.add("  " + formatField(field)));
        return lines;
    }

    /** Formats a committed change as human-readable lines. */
    public static List<String> formatLines(AuditRecord record) {
        List<String> lines = new ArrayList<>();
        lines.add("revision " + record.revision() + " at " + Instant.ofEpochMilli(record.atMillis()) + " by "
                + record.author() + ": " + record.reason() + " (change " + record.changeId() + ")");
        record.changes().forEach(change -> formatLines(change).forEach(line -> lines.add("  " + line)));
        return lines;
    }

    /** Formats a conflict as human-readable lines, with the author of the other edit and both versions. */
    public static List<String> formatLines(RowConflict conflict) {
        List<String> lines = new ArrayList<>();
        lines.add("row " + conflict.name() + " was edited at revision " + conflict.otherRevision() + " by "
                + conflict.otherAuthor() + " (" + Instant.ofEpochMilli(conflict.otherAtMillis()) + "): "
                + conflict.otherReason());
        lines.add("  theirs:");
        changedFields(new RowChange(conflict.name(), conflict.base(), conflict.theirs()))
                .forEach(field -> lines.add("    " + formatField(field)));
        lines.add("  yours:");
        changedFields(new RowChange(conflict.name(), conflict.base(), conflict.ours()))
                .forEach(field -> lines.add("    " + formatField(field)));
        return lines;
    }

    private static String formatField(FieldChange field) {
        return field.column().header() + ": '" + field.before() + "' -> '" + field.after() + "'";
    }

    private static String text(TableColumn column, @Nullable TargetRow row) {
        return row == null ? "" : column.format(row);
    }
}
