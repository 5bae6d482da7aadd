package firwheel.table;

import firwheel.model.TargetRow;
import java.util.List;

/**
 * Messages that processes exchange about the table. Each is limited to about {@link #MAX_BYTES}, unless a single row is
 * larger.
 */
public sealed interface TableMessage {
    /** Approximate maximum size of a message in bytes. */
    int MAX_BYTES = 48 * 1024;

    /**
     * Announces the sender's active table.
     *
     * @param revision active revision of the sender
     * @param digest digest of the active table
     */
    record Announce(long revision, long digest) implements TableMessage {}

    /**
     * Requests the changes after a revision.
     *
     * @param revision active revision of the sender
     */
    record Pull(long revision) implements TableMessage {}

    /**
     * Patches from one revision to a later one.
     *
     * @param patches consecutive patches in revision order
     * @param latestRevision active revision of the sender
     */
    record Patches(List<RevisionPatch> patches, long latestRevision) implements TableMessage {
        public Patches {
            patches = List.copyOf(patches);
        }
    }

    /**
     * Requests one page of a full table.
     *
     * @param revision requested revision; 0 for the latest
     * @param page page index, from 0
     */
    record PullPage(long revision, int page) implements TableMessage {}

    /**
     * One page of a full table.
     *
     * @param revision revision of the table
     * @param digest digest of the full table
     * @param page page index, from 0
     * @param pages number of pages
     * @param rows rows of the page, in table order
     */
    record SnapshotPage(long revision, long digest, int page, int pages, List<TargetRow> rows) implements TableMessage {
        public SnapshotPage {
            rows = List.copyOf(rows);
        }
    }
}
