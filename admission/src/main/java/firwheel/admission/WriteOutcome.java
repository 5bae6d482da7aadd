package firwheel.admission;

import firwheel.store.StoredRow;

/** Result of one conditional write submitted to {@link GroupCommitter}. */
sealed interface WriteOutcome {
    /** The write was committed. */
    record Applied() implements WriteOutcome {}

    /** The condition failed; {@code storedRow} is the current row. */
    record Conflicted(StoredRow storedRow) implements WriteOutcome {}
}
