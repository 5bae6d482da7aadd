package firwheel.table;

import java.util.List;

/**
 * Record of one accepted change, written in the same transaction as the change. It doubles as the delta from the
 * previous revision.
 *
 * @param revision table revision that the change made
 * @param changeId unique id of the change
 * @param author who made the change
 * @param reason why the change was made
 * @param atMillis wall-clock time of the author's host in milliseconds since the epoch
 * @param changes changed rows, each once
 */
public record AuditRecord(
        long revision, String changeId, String author, String reason, long atMillis, List<RowChange> changes) {
    public AuditRecord {
        changes = List.copyOf(changes);
    }
}
