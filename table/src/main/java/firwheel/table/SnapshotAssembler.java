package firwheel.table;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Assembles a table from the pages sent by one peer, in order. */
final class SnapshotAssembler {
    private final Peer from;
    private final long revision;
    private final long startedNanos;
    private final List<TargetRow> rows = new ArrayList<>();
    private int nextPage;

    SnapshotAssembler(Peer from, long revision, long startedNanos) {
        this.from = from;
        this.revision = revision;
        this.startedNanos = startedNanos;
    }

    boolean expects(Peer sender, TableMessage.SnapshotPage page) {
        return sender.equals(from) && page.revision() == revision && page.page() == nextPage;
    }

    /** Adds the expected page; returns the table when the page was the last. */
    Optional<TableSnapshot> add(TableMessage.SnapshotPage page) {
        rows.addAll(page.rows());
        nextPage++;
        return nextPage == page.pages() ? Optional.of(new TableSnapshot(revision, rows)) : Optional.empty();
    }

    int nextPage() {
        return nextPage;
    }

    long revision() {
        return revision;
    }

    long startedNanos() {
        return startedNanos;
    }
}
