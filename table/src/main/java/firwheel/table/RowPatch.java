package firwheel.table;

import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Change of one row as sent between processes; it carries only the fields that differ.
 *
 * @param name name of the row
 * @param removed whether the row is removed
 * @param fields new values of the changed fields; all non-empty fields of an added row
 */
public record RowPatch(String name, boolean removed, List<FieldText> fields) {
    public RowPatch {
        fields = List.copyOf(fields);
    }

    /**
     * New value of one field, formatted as in the table file.
     *
     * @param column column of the field
     * @param text new value
     */
    public record FieldText(TableColumn column, String text) {}

    static RowPatch of(RowChange change) {
        List<FieldText> fields = change.after() == null
                ? List.of()
                : AuditTrail.changedFields(change).stream()
                        .map(field -> new FieldText(field.column(), field.after()))
                        .toList();
        return new RowPatch(change.name(), change.after() == null, fields);
    }

    /** Returns the change that this patch makes to {@code before}; empty when the result is not a valid row. */
    Optional<RowChange> toChange(@Nullable TargetRow before) {
        if (removed) {
            return Optional.of(new RowChange(name, before, null));
        }
        List<TableColumn> columns = List.of(TableColumn.values());
        List<String> texts = new ArrayList<>(Arrays.stream(TableColumn.values())
                .map(column -> before == null ? "" : column.format(before))
                .toList());
        fields.forEach(field -> texts.set(columns.indexOf(field.column()), field.text()));
        return new RowParser(0, texts)
                .parse()
                .filter(row -> row.name().equals(name))
                .map(row -> new RowChange(name, before, row));
    }

    /**
     * Returns whether validations across rows must be repeated. Only the host column can break them, as addresses must
     * be unique.
     */
    boolean affectsCrossRowChecks() {
        return fields.stream().anyMatch(field -> field.column() == TableColumn.HOSTS);
    }

    /** Returns the approximate encoded size in bytes. */
    int sizeBytes() {
        return 16
                + name.length()
                + fields.stream().mapToInt(field -> 16 + field.text().length()).sum();
    }
}
