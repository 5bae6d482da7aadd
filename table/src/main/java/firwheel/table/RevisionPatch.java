package firwheel.table;

import java.util.List;

/**
 * Step from one revision to the next as processes send it to each other.
 *
 * @param revision revision after the step
 * @param digest digest of the whole table after the step
 * @param rows changed rows
 */
public record RevisionPatch(long revision, long digest, List<RowPatch> rows) {
    public RevisionPatch {
        rows = List.copyOf(rows);
    }

    /** Returns the approximate size on the wire in bytes. */
    int sizeBytes() {
        return 24 + rows.stream().mapToInt(RowPatch::sizeBytes).sum();
    }
}
