package firwheel.table;

import firwheel.model.TargetRow;
import org.jspecify.annotations.Nullable;

/**
 * Change of one row.
 *
 * @param name name of the row
 * @param before row before the change; null when the row is added
 * @param after row after the change; null when the row is removed
 */
public record RowChange(String name, @Nullable TargetRow before, @Nullable TargetRow after) {}
