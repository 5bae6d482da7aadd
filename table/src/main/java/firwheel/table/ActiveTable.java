package firwheel.table;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The table that this process serves with. The revision never decreases: older, corrupted and inconsistent tables are
 * refused and the last valid one stays active. Written by the control thread, read by any thread.
 */
public final class ActiveTable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ActiveTable.class);
    private static final int MAX_HISTORY_PATCHES = 512;
    private static final int MAX_HISTORY_BYTES = 512 * 1024;

    private final Deque<RevisionPatch> history = new ArrayDeque<>();
    private int historyBytes;
    private volatile TableWithDigest current = new TableWithDigest(TableSnapshot.EMPTY, 0);

    /** Result of offering a table or patches. */
    public enum OfferResult {
        /** The offered revision is now active. */
        APPLIED,
        /** The offered table is already active, or none of the offered patches is newer than the active table. */
        UNCHANGED,
        /** The offered table is older than the active one and was ignored. */
        STALE,
        /** Patches between the active revision and the offered one are missing. */
        GAP,
        /** The offer fails validation or does not match the active table, which stays active. */
        REJECTED
    }

    /**
     * Table with its digest.
     *
     * @param table the table
     * @param digest digest of the table
     */
    public record TableWithDigest(TableSnapshot table, long digest) {
        /** Returns the revision of the table. */
        public long revision() {
            return table.revision();
        }
    }

    /** Returns the active table with its digest. */
    public TableWithDigest current() {
        return current;
    }

    /** Returns the active table; the empty table before the first one. */
    public TableSnapshot table() {
        return current.table();
    }

    /** Offers a full table. */
    public OfferResult offer(TableSnapshot candidate) {
        if (candidate.revision() < current.revision()) {
            return stale(candidate.revision());
        }
        long digest = TableDigest.of(candidate);
        if (candidate.revision() == current.revision()) {
            return digest == current.digest()
                    ? OfferResult.UNCHANGED
                    : rejected(candidate.revision(), "same revision with different rows");
        }
        List<TableProblem> problems = TableValidator.validate(candidate);
        if (!problems.isEmpty()) {
            return rejected(candidate.revision(), problems.get(0).toString());
        }
        history.clear();
        historyBytes = 0;
        activate(candidate, digest);
        return OfferResult.APPLIED;
    }

    /**
     * Offers audit records read from the store, oldest first. Records of revisions that are already active are skipped.
     */
    public OfferResult offerAuditRecords(List<AuditRecord> records) {
        OfferResult result = OfferResult.UNCHANGED;
        for (AuditRecord record : records) {
            if (record.revision() <= current.revision()) {
                continue;
            }
            if (record.revision() != current.revision() + 1) {
                return OfferResult.GAP;
            }
            for (RowChange change : record.changes()) {
                if (!Objects.equals(current.table().row(change.name()).orElse(null), change.before())) {
                    return rejected(record.revision(), "audit record does not match row " + change.name());
                }
            }
            long digest = TableDigest.afterChanges(current.digest(), record.changes());
            List<RowPatch> patches = record.changes().stream().map(RowPatch::of).toList();
            result = applyPatch(new RevisionPatch(record.revision(), digest, patches));
            if (result != OfferResult.APPLIED) {
                return result;
            }
        }
        return result;
    }

    /**
     * Offers patches received from another process, oldest first. Patches to revisions that are already active are
     * skipped.
     */
    public OfferResult offerPatches(List<RevisionPatch> patches) {
        OfferResult result = OfferResult.UNCHANGED;
        for (RevisionPatch patch : patches) {
            if (patch.revision() <= current.revision()) {
                continue;
            }
            if (patch.revision() != current.revision() + 1) {
                return OfferResult.GAP;
            }
            result = applyPatch(patch);
            if (result != OfferResult.APPLIED) {
                return result;
            }
        }
        return result;
    }

    /**
     * Returns the patches after {@code revision}, up to {@code maxBytes}; empty when the first of them is not in the
     * history.
     */
    public List<RevisionPatch> patchesAfter(long revision, int maxBytes) {
        List<RevisionPatch> patches = new ArrayList<>();
        int bytes = 0;
        for (RevisionPatch patch : history) {
            if (patch.revision() <= revision) {
                continue;
            }
            if (patches.isEmpty() && patch.revision() != revision + 1) {
                return List.of();
            }
            bytes += patch.sizeBytes();
            if (bytes > maxBytes) {
                break;
            }
            patches.add(patch);
        }
        return patches;
    }

    private OfferResult applyPatch(RevisionPatch patch) {
        List<RowChange> changes = new ArrayList<>();
        for (RowPatch rowPatch : patch.rows()) {
            TargetRow before = current.table().row(rowPatch.name()).orElse(null);
            Optional<RowChange> change = rowPatch.toChange(before);
            if (change.isEmpty()) {
                return rejected(patch.revision(), "row " + rowPatch.name() + " is not valid");
            }
            changes.add(change.get());
        }
        long digest = TableDigest.afterChanges(current.digest(), changes);
        if (digest != patch.digest()) {
            return rejected(patch.revision(), "digest mismatch");
        }
        TableSnapshot next = TableDiff.apply(current.table(), changes, patch.revision());
        boolean crossRow = patch.rows().stream().anyMatch(RowPatch::affectsCrossRowChecks);
        List<TableProblem> problems =
                crossRow ? TableValidator.validate(next) : TableValidator.validate(changedRows(changes));
        if (!problems.isEmpty()) {
            return rejected(patch.revision(), problems.get(0).toString());
        }
        appendToHistory(patch);
        activate(next, digest);
        return OfferResult.APPLIED;
    }

    private static TableSnapshot changedRows(List<RowChange> changes) {
        List<TargetRow> rows = new ArrayList<>();
        for (RowChange change : changes) {
            TargetRow after = change.after();
            if (after != null) {
                rows.add(after);
            }
        }
        return new TableSnapshot(0, rows);
    }

    private void appendToHistory(RevisionPatch patch) {
        history.addLast(patch);
        historyBytes += patch.sizeBytes();
        while (history.size() > MAX_HISTORY_PATCHES || historyBytes > MAX_HISTORY_BYTES) {
            historyBytes -= history.removeFirst().sizeBytes();
        }
    }

    private void activate(TableSnapshot table, long digest) {
        current = new TableWithDigest(table, digest);
        Events.log(LOGGER, EventCode.TABLE_IN_FORCE, "revision", table.revision());
    }

    private OfferResult stale(long revision) {
        Events.log(LOGGER, EventCode.TABLE_OLDER, "offered", revision, "inForce", current.revision());
        return OfferResult.STALE;
    }

    private OfferResult rejected(long revision, String detail) {
        Events.log(
                LOGGER, EventCode.TABLE_REJECTED, "offered", revision, "inForce", current.revision(), "detail", detail);
        return OfferResult.REJECTED;
    }
}
