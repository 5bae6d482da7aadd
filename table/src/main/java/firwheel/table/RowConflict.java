package firwheel.table;

import firwheel.model.TargetRow;
import org.jspecify.annotations.Nullable;

/**
 * Row edited both by this change and by another change committed since its base revision.
 *
 * @param name name of the row
 * @param base row at the base revision of this change; null when absent
 * @param ours row as edited by this change; null when removed
 * @param theirs row now in the store; null when removed
 * @param otherAuthor author of the other change
 * @param otherReason reason for the other change
 * @param otherRevision revision of the other change
 * @param otherAtMillis wall-clock time of the other change in milliseconds since the epoch
 */
public record RowConflict(
        String name,
        @Nullable TargetRow base,
        @Nullable TargetRow ours,
        @Nullable TargetRow theirs,
        String otherAuthor,
        String otherReason,
        long otherRevision,
        long otherAtMillis) {}
