package firwheel.table;

import firwheel.model.TargetRow;
import org.jspecify.annotations.Nullable;

/**
 * One row that both this change and a later accepted change edited.
 *
 * @param name name of the row
 * @param base row at the revision that this change started from; null when absent
 * @param ours row that this change wants; null to remove it
 * @param theirs row now in the store; null when removed
 * @param otherAuthor who made the other change
 * @param otherReason why the other change was made
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
