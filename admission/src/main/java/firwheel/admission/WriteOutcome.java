package firwheel.admission;

import firwheel.store.StoredRow;

/** What became of one conditional write of a group. */
sealed interface WriteOutcome {
    /** The write took effect. */
    record Applied() implements WriteOutcome {}

    /** The condition failed; {@code present} is the row that is there. */
    record Conflicted(StoredRow storedRow) implements WriteOutcome {}
}
