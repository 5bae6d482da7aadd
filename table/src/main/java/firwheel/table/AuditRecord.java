package firwheel.table;

import java.util.List;

/**
 * Audit record of a committed change, written in the same transaction as the change. It is also the delta from the
 * previous revision.
 *
 * @param revision table revision created by the change
 * @param changeId unique id of the change
 * @param author author of the change
 * @param reason reason for the change
 * @param atMillis wall-clock time of the author's host in milliseconds since the epoch
 * @param changes changed rows, each listed once
 */
public record AuditRecord(
        long revision, String changeId, String author, String reason, long atMillis, List<RowChange> changes) {
    public AuditRecord {
        changes = List.copyOf(changes);
    }
}
