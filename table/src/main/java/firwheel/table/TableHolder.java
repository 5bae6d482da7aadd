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
 * Holds the table in force on this host. The revision never goes down: older, damaged and inconsistent tables are
 * refused and the last good one stays. Written by the control thread, read by any thread.
 */
public final class TableHolder {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableHolder.class);
    private static final int HISTORY_STEPS = 512;
    private static final int HISTORY_BYTES = 512 * 1024;

    private final Deque<RevisionPatch> history = new ArrayDeque<>();
    private int historyBytes;
    private volatile Held held = new Held(TableSnapshot.EMPTY, 0);

    /** What became of an offered table. */
    public enum Adoption {
        /** It is in force now. */
        ADOPTED,
        /** It was in force already. */
        SAME,
        /** It is older than the table in force and was ignored. */
        OLDER,
        /** Steps between the table in force and the offer are missing. */
        GAP,
        /** It fails the checks or does not fit the table in force, which stays. */
        REJECTED
    }

    /**
     * Table in force.
     *
     * @param table the table
     * @param digest its digest
     */
    public record Held(TableSnapshot table, long digest) {
        /** Returns the revision in force. */
        public long revision() {
            return table.revision();
        }
    }

    /** Returns what is in force. */
    public Held held() {
        return held;
    }

    /** Returns the table in force; the empty table before the first one. */
    public TableSnapshot table() {
        return held.table();
    }

    /** Offers a whole table. */
    public Adoption offer(TableSnapshot candidate) {
        if (candidate.revision() < held.revision()) {
            return older(candidate.revision());
        }
        long digest = TableDigest.of(candidate);
        if (candidate.revision() == held.revision()) {
            return digest == held.digest()
                    ? Adoption.SAME
                    : rejected(candidate.revision(), "same revision, other rows");
        }
        List<TableProblem> problems = TableChecks.check(candidate);
        if (!problems.isEmpty()) {
            return rejected(candidate.revision(), problems.get(0).toString());
        }
        history.clear();
        historyBytes = 0;
        put(candidate, digest);
        return Adoption.ADOPTED;
    }

    /** Offers audit records read from the store, oldest first. Steps that are in force already are skipped. */
    public Adoption offerRecords(List<AuditRecord> records) {
        Adoption result = Adoption.SAME;
        for (AuditRecord record : records) {
            if (record.revision() <= held.revision()) {
                continue;
            }
            if (record.revision() != held.revision() + 1) {
                return Adoption.GAP;
            }
            for (RowChange change : record.changes()) {
                if (!Objects.equals(held.table().row(change.name()).orElse(null), change.before())) {
                    return rejected(record.revision(), "audit record does not fit row " + change.name());
                }
            }
            long digest = TableDigest.after(held.digest(), record.changes());
            List<RowPatch> patches = record.changes().stream().map(RowPatch::of).toList();
            result = step(new RevisionPatch(record.revision(), digest, patches));
            if (result != Adoption.ADOPTED) {
                return result;
            }
        }
        return result;
    }

    /** Offers steps sent by another process, oldest first. Steps that are in force already are skipped. */
    public Adoption offerSteps(List<RevisionPatch> steps) {
        Adoption result = Adoption.SAME;
        for (RevisionPatch step : steps) {
            if (step.revision() <= held.revision()) {
                continue;
            }
            if (step.revision() != held.revision() + 1) {
                return Adoption.GAP;
            }
            result = step(step);
            if (result != Adoption.ADOPTED) {
                return result;
            }
        }
        return result;
    }

    /** Returns the steps after {@code revision}, as many as fit {@code maxBytes}; empty when they are not kept. */
    public List<RevisionPatch> stepsAfter(long revision, int maxBytes) {
        List<RevisionPatch> steps = new ArrayList<>();
        int bytes = 0;
        for (RevisionPatch step : history) {
            if (step.revision() <= revision) {
                continue;
            }
            if (steps.isEmpty() && step.revision() != revision + 1) {
                return List.of();
            }
            bytes += step.sizeBytes();
            if (bytes > maxBytes) {
                break;
            }
            steps.add(step);
        }
        return steps;
    }

    private Adoption step(RevisionPatch step) {
        List<RowChange> changes = new ArrayList<>();
        for (RowPatch patch : step.rows()) {
            TargetRow before = held.table().row(patch.name()).orElse(null);
            Optional<RowChange> change = patch.toChange(before);
            if (change.isEmpty()) {
                return rejected(step.revision(), "row " + patch.name() + " is not valid");
            }
            changes.add(change.get());
        }
        long digest = TableDigest.after(held.digest(), changes);
        if (digest != step.digest()) {
            return rejected(step.revision(), "digest differs");
        }
        TableSnapshot next = TableDiff.apply(held.table(), changes, step.revision());
        boolean crossRow = step.rows().stream().anyMatch(RowPatch::touchesOtherRows);
        List<TableProblem> problems = crossRow ? TableChecks.check(next) : TableChecks.check(changedRows(changes));
        if (!problems.isEmpty()) {
            return rejected(step.revision(), problems.get(0).toString());
        }
        remember(step);
        put(next, digest);
        return Adoption.ADOPTED;
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

    private void remember(RevisionPatch step) {
        history.addLast(step);
        historyBytes += step.sizeBytes();
        while (history.size() > HISTORY_STEPS || historyBytes > HISTORY_BYTES) {
            historyBytes -= history.removeFirst().sizeBytes();
        }
    }

    private void put(TableSnapshot table, long digest) {
        held = new Held(table, digest);
        Events.log(LOGGER, EventCode.TABLE_IN_FORCE, "revision", table.revision());
    }

    private Adoption older(long revision) {
        Events.log(LOGGER, EventCode.TABLE_OLDER, "offered", revision, "inForce", held.revision());
        return Adoption.OLDER;
    }

    private Adoption rejected(long revision, String detail) {
        Events.log(LOGGER, EventCode.TABLE_REJECTED, "offered", revision, "inForce", held.revision(), "detail", detail);
        return Adoption.REJECTED;
    }
}
