package firwheel.store;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param applied whether the writes were applied
 * @param conflicts current contents of the rows whose condition failed; absent rows have version 0
 */
public record CommitResult(boolean applied, List<StoredRow> conflicts) {
    public CommitResult {
        conflicts = List.copyOf(conflicts);
    }
}
