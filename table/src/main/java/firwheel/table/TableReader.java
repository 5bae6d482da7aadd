package firwheel.table;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the table from the platform. Futures fail with {@code FW-5002} when stored rows are corrupted, and with the
 * platform's own result codes when the platform cannot be reached.
 */
public final class TableReader {
    private static final int PAGE_ROWS = 1_000;

    private final TableService service;

    public TableReader(TableService service) {
        this.service = service;
    }

    /** Reads the current revision; 0 before the first change. */
    public CompletableFuture<Long> readRevision() {
        return service.read(List.of(TableKeys.REVISION)).thenApply(TableReader::revisionOf);
    }

    /**
     * Reads the full table at one revision. Rows are read in pages, so a concurrent change may be visible in some pages
     * only; replaying the audit records since the start of the read makes the result consistent.
     */
    public CompletableFuture<TableSnapshot> read() {
        return readRevision().thenCompose(startRevision -> readRows(TableKeys.ROW_PREFIX, new ArrayList<>())
                .thenCompose(rows ->
                        readAuditRecords(startRevision).thenApply(records -> replay(rows, startRevision, records))));
    }

    /**
     * Reads the table as of {@code revision}. Fails with {@code FW-5007} when the store has not reached that revision.
     */
    public CompletableFuture<TableSnapshot> readAtRevision(long revision) {
        return read().thenCompose(present -> {
            if (present.revision() == revision) {
                return CompletableFuture.completedFuture(present);
            }
            if (present.revision() < revision) {
                return CompletableFuture.failedFuture(new FirwheelException(
                        ResultCode.TABLE_BASE_UNKNOWN,
                        "the file is based on revision " + revision + ", but the store is at revision "
                                + present.revision()));
            }
            return readAuditRecords(revision)
                    .thenApply(records -> TableDiff.undo(
                            present,
                            records.stream()
                                    .filter(record -> record.revision() <= present.revision())
                                    .toList(),
                            revision));
        });
    }

    /** Reads all audit records after {@code revision}, oldest first. */
    public CompletableFuture<List<AuditRecord>> readAuditRecords(long revision) {
        return readAuditPages(revision, new ArrayList<>());
    }

    /** Reads at most {@code limit} audit records after {@code revision}, oldest first. */
    public CompletableFuture<List<AuditRecord>> readAuditRecords(long revision, int limit) {
        return service.scan(TableKeys.AUDIT_PREFIX, TableKeys.audit(revision), limit)
                .thenApply(rows -> rows.stream()
                        .map(row -> RowJson.readValue(row.value(), AuditRecord.class))
                        .toList());
    }

    private CompletableFuture<List<AuditRecord>> readAuditPages(long revision, List<AuditRecord> found) {
        return readAuditRecords(revision, PAGE_ROWS).thenCompose(page -> {
            found.addAll(page);
            return page.size() < PAGE_ROWS
                    ? CompletableFuture.completedFuture(found)
                    : readAuditPages(page.get(page.size() - 1).revision(), found);
        });
    }

    private CompletableFuture<List<TargetRow>> readRows(String afterKey, List<TargetRow> found) {
        return service.scan(TableKeys.ROW_PREFIX, afterKey, PAGE_ROWS).thenCompose(page -> {
            page.forEach(row -> found.add(rowOf(row)));
            return page.size() < PAGE_ROWS
                    ? CompletableFuture.completedFuture(found)
                    : readRows(page.get(page.size() - 1).key(), found);
        });
    }

    private static TargetRow rowOf(StoredRow stored) {
        TargetRow row = RowJson.readRow(stored.value());
        if (!TableKeys.row(row.name()).equals(stored.key())) {
            throw new FirwheelException(
                    ResultCode.TABLE_FIELD, "row stored under the key of another row: " + stored.key());
        }
        return row;
    }

    private static TableSnapshot replay(List<TargetRow> rows, long startRevision, List<AuditRecord> records) {
        TableSnapshot table = TableDiff.apply(new TableSnapshot(startRevision, rows), List.of(), startRevision);
        for (AuditRecord record : records) {
            if (record.revision() != table.revision() + 1) {
                throw new FirwheelException(
                        ResultCode.TABLE_FIELD, "missing audit record after revision " + table.revision());
            }
            table = TableDiff.apply(table, record.changes(), record.revision());
        }
        return table;
    }

    static long revisionOf(List<StoredRow> rows) {
        return rows.isEmpty()
                ? 0
                : RowJson.readValue(rows.get(0).value(), StoredRevision.class).revision();
    }
}
