package firwheel.table;

import java.util.List;

/**
 * Result of applying a change to the table.
 *
 * @param status outcome of the change
 * @param revision revision created by the change, or the current revision when nothing was written
 * @param conflicts rows also edited by another change; empty unless the status is {@link Status#CONFLICT}
 * @param problems validation problems of the resulting table; empty unless the status is {@link Status#REFUSED}
 */
public record ApplyResult(Status status, long revision, List<RowConflict> conflicts, List<TableProblem> problems) {
    public ApplyResult {
        conflicts = List.copyOf(conflicts);
        problems = List.copyOf(problems);
    }

    /** Outcome of the change. */
    public enum Status {
        /** The change was written. */
        APPLIED,
        /** A change with this id was written earlier; nothing was written now. */
        ALREADY_APPLIED,
        /** The table already has the desired content; nothing was written. */
        UNCHANGED,
        /** Another change edited one of the same rows; nothing was written. */
        CONFLICT,
        /** The resulting table fails validation; nothing was written. */
        REFUSED
    }

    static ApplyResult of(Status status, long revision) {
        return new ApplyResult(status, revision, List.of(), List.of());
    }
}
