package firwheel.table;

import java.util.List;

/**
 * Result of applying a change to the table.
 *
 * @param status what happened
 * @param revision revision of the change, or the present revision when nothing was written
 * @param conflicts rows that another change edited too; empty unless the status is {@link Status#CONFLICT}
 * @param problems mistakes in the table that would result; empty unless the status is {@link Status#REFUSED}
 */
public record ApplyResult(Status status, long revision, List<RowConflict> conflicts, List<TableProblem> problems) {
    public ApplyResult {
        conflicts = List.copyOf(conflicts);
        problems = List.copyOf(problems);
    }

    /** What happened to the change. */
    public enum Status {
        /** The change was written. */
        APPLIED,
        /** A change with this id was written before; nothing was written now. */
        ALREADY_APPLIED,
        /** The table already reads as wanted. */
        UNCHANGED,
        /** Another change edited one of the same rows; nothing was written. */
        CONFLICT,
        /** The resulting table fails the checks; nothing was written. */
        REFUSED
    }

    static ApplyResult of(Status status, long revision) {
        return new ApplyResult(status, revision, List.of(), List.of());
    }
}
