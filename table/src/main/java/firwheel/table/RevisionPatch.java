package firwheel.table;

import java.util.List;

/**
 * Patch from one revision to the next as sent between processes.
 *
 * @param revision revision after the patch
 * @param digest digest of the full table after the patch
 * @param rows changed rows
 */
public record RevisionPatch(long revision, long digest, List<RowPatch> rows) {
    public RevisionPatch {
        rows = List.copyOf(rows);
    }

    /** Returns the approximate encoded size in bytes. */
    int sizeBytes() {
        return 24 + rows.stream().mapToInt(RowPatch::sizeBytes).sum();
    }
}
