package firwheel.table;

import firwheel.model.TargetRow;
import org.jspecify.annotations.Nullable;

/**
 * Change of one row.
 *
 * @param name name of the row
 * @param before row before the change; null when the change adds it
 * @param after row after the change; null when the change removes it
 */
public record RowChange(String name, @Nullable TargetRow before, @Nullable TargetRow after) {}
