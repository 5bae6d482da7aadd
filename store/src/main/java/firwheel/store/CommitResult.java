package firwheel.store;

import java.util.List;

/**
 * Answer to a transaction.
 *
 * @param applied whether the writes took effect
 * @param conflicts present contents of the rows whose condition failed; absent rows have version 0
 */
public record CommitResult(boolean applied, List<StoredRow> conflicts) {
    public CommitResult {
        conflicts = List.copyOf(conflicts);
    }
}
