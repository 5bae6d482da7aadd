package firwheel.table;

import firwheel.model.TargetRow;
import java.util.List;

/** Messages between processes about the table. Each is bounded by {@link #MAX_BYTES}, unless one row alone is larger. */
public sealed interface TableMessage {
    /** Approximate upper bound of a message in bytes. */
    int MAX_BYTES = 48 * 1024;

    /**
     * States what the sender has in force.
     *
     * @param revision revision in force
     * @param digest digest of its table
     */
    record Announce(long revision, long digest) implements TableMessage {}

    /**
     * Asks for what follows a revision.
     *
     * @param revision revision that the sender has in force
     */
    record Pull(long revision) implements TableMessage {}

    /**
     * Steps from one revision to a later one.
     *
     * @param patches steps in order, without gaps
     * @param latestRevision revision that the sender has in force
     */
    record Patches(List<RevisionPatch> patches, long latestRevision) implements TableMessage {
        public Patches {
            patches = List.copyOf(patches);
        }
    }

    /**
     * Asks for one page of a whole table.
     *
     * @param revision revision of the wanted table; 0 for the latest
     * @param page number of the page, from 0
     */
    record PullPage(long revision, int page) implements TableMessage {}

    /**
     * One page of a whole table.
     *
     * @param revision revision of the table
     * @param digest digest of the whole table
     * @param page number of the page, from 0
     * @param pages number of pages
     * @param rows rows of the page, in table order
     */
    record SnapshotPage(long revision, long digest, int page, int pages, List<TargetRow> rows) implements TableMessage {
        public SnapshotPage {
            rows = List.copyOf(rows);
        }
    }
}
