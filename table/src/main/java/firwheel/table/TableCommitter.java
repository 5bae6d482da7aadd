package firwheel.table;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.store.CommitResult;
import firwheel.store.Condition;
import firwheel.store.Delay;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import firwheel.store.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Applies changes to the table, each in one transaction with its audit record. Changes are idempotent by change id, so
 * after a lost response the change is simply retried.
 */
public final class TableCommitter {
    private static final int MAX_ATTEMPTS = 12;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final TableService service;
    private final TableReader reader;
    private final TimeSource time;
    private final Delay delay;

    /** Creates a committer that waits between attempts with {@code delay}. */
    public TableCommitter(TableService service, TimeSource time, Delay delay) {
        this.service = service;
        this.reader = new TableReader(service);
        this.time = time;
        this.delay = delay;
    }

    /**
     * Applies the difference between {@code base} and {@code edited} to the current table. Changes made by others to
     * other rows since {@code base} are kept.
     *
     * @param base table that the edit is based on, as stored at its revision
     * @param edited desired table
     * @param author author of the change
     * @param reason reason for the change
     * @param changeId unique id of the change
     */
    public CompletableFuture<ApplyResult> apply(
            TableSnapshot base, TableSnapshot edited, String author, String reason, String changeId) {
        return apply(base, edited, author, reason, changeId, TableValidator.Options.DEFAULT);
    }

    /** Same as {@link #apply(TableSnapshot, TableSnapshot, String, String, String)}, with validation options. */
    public CompletableFuture<ApplyResult> apply(
            TableSnapshot base,
            TableSnapshot edited,
            String author,
            String reason,
            String changeId,
            TableValidator.Options options) {
        Change change = new Change(base, TableDiff.between(base, edited), author, reason, changeId, options);
        return attempt(change, 1);
    }

    private CompletableFuture<ApplyResult> attempt(Change change, int attempt) {
        return attemptOnce(change)
                .handle((result, error) -> error == null
                        ? new AttemptOutcome(result.orElse(null), contentionFailure())
                        : new AttemptOutcome(null, FirwheelException.of(error)))
                .thenCompose(outcome -> {
                    ApplyResult result = outcome.result();
                    return result != null
                            ? CompletableFuture.completedFuture(result)
                            : retryOrFail(change, attempt, outcome.failure());
                });
    }

    private static FirwheelException contentionFailure() {
        return new FirwheelException(
                ResultCode.PLATFORM_RATE_LIMITED, "concurrent changes kept this change from being committed");
    }

    private CompletableFuture<ApplyResult> retryOrFail(Change change, int attempt, FirwheelException failure) {
        boolean retryable = failure.code() == ResultCode.PLATFORM_UNREACHABLE
                || failure.code() == ResultCode.PLATFORM_UNKNOWN
                || failure.code() == ResultCode.PLATFORM_RATE_LIMITED;
        if (!retryable || attempt >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(failure);
        }
        Duration wait = INITIAL_BACKOFF.multipliedBy(1L << Math.min(attempt - 1, 10));
        Duration bounded = wait.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : wait;
        return delay.after(bounded).thenCompose(done -> attempt(change, attempt + 1));
    }

    /** Returns an empty result when a concurrent change was committed and the attempt has to start over. */
    private CompletableFuture<Optional<ApplyResult>> attemptOnce(Change change) {
        List<String> keys = new ArrayList<>(List.of(TableKeys.change(change.changeId()), TableKeys.REVISION));
        change.changes().forEach(row -> keys.add(TableKeys.row(row.name())));
        return service.read(keys).thenCompose(stored -> {
            StoredRow marker = findOrAbsent(stored, TableKeys.change(change.changeId()));
            if (marker.version() > 0) {
                long revision =
                        RowJson.readValue(marker.value(), StoredRevision.class).revision();
                return completed(ApplyResult.of(ApplyResult.Status.ALREADY_APPLIED, revision));
            }
            return reader.readAuditRecords(change.base().revision()).thenCompose(since -> merge(change, stored, since));
        });
    }

    private CompletableFuture<Optional<ApplyResult>> merge(
            Change change, List<StoredRow> stored, List<AuditRecord> since) {
        StoredRow revisionRow = findOrAbsent(stored, TableKeys.REVISION);
        long present = revisionRow.version() == 0 ? 0 : TableReader.revisionOf(List.of(revisionRow));
        if (present < change.base().revision()) {
            return CompletableFuture.failedFuture(new FirwheelException(
                    ResultCode.TABLE_BASE_UNKNOWN,
                    "the change is based on revision " + change.base().revision() + ", but the store is at revision "
                            + present));
        }
        if (present != change.base().revision() + since.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        TableMerge merge = TableMerge.of(change.base(), change.changes(), since);
        if (!merge.conflicts().isEmpty()) {
            return completed(new ApplyResult(ApplyResult.Status.CONFLICT, present, merge.conflicts(), List.of()));
        }
        if (merge.remaining().isEmpty()) {
            return completed(ApplyResult.of(ApplyResult.Status.UNCHANGED, present));
        }
        List<TableProblem> problems = TableValidator.validateChange(merge.present(), merge.result(), change.options());
        if (!problems.isEmpty()) {
            return completed(new ApplyResult(ApplyResult.Status.REFUSED, present, List.of(), problems));
        }
        return commit(change, merge, stored, revisionRow);
    }

    private CompletableFuture<Optional<ApplyResult>> commit(
            Change change, TableMerge merge, List<StoredRow> stored, StoredRow revisionRow) {
        long revision = merge.result().revision();
        List<Condition> conditions = new ArrayList<>();
        conditions.add(new Condition(TableKeys.REVISION, revisionRow.version()));
        conditions.add(new Condition(TableKeys.change(change.changeId()), 0));
        List<Write> writes = new ArrayList<>();
        String marker = RowJson.writeValue(new StoredRevision(revision));
        writes.add(new Write(TableKeys.REVISION, marker));
        writes.add(new Write(TableKeys.change(change.changeId()), marker));
        AuditRecord audit = new AuditRecord(
                revision,
                change.changeId(),
                change.author(),
                change.reason(),
                time.now().toEpochMilli(),
                merge.remaining());
        writes.add(new Write(TableKeys.audit(revision), RowJson.writeValue(audit)));
        for (RowChange row : merge.remaining()) {
            StoredRow present = findOrAbsent(stored, TableKeys.row(row.name()));
            requireMatchesAuditTrail(present, row.before());
            conditions.add(new Condition(present.key(), present.version()));
            TargetRow after = row.after();
            writes.add(new Write(present.key(), after == null ? null : RowJson.write(after)));
        }
        return service.commit(new Transaction(conditions, writes)).thenApply(reply -> toResult(reply, revision));
    }

    private static Optional<ApplyResult> toResult(CommitResult reply, long revision) {
        return reply.applied() ? Optional.of(ApplyResult.of(ApplyResult.Status.APPLIED, revision)) : Optional.empty();
    }

    private static void requireMatchesAuditTrail(StoredRow stored, @Nullable TargetRow expected) {
        TargetRow present = stored.version() == 0 ? null : RowJson.readRow(stored.value());
        if (!Objects.equals(present, expected)) {
            throw new FirwheelException(
                    ResultCode.TABLE_FIELD, stored.key() + " in the store differs from its audit records");
        }
    }

    private static StoredRow findOrAbsent(List<StoredRow> rows, String key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst().orElse(new StoredRow(key, 0, ""));
    }

    private static CompletableFuture<Optional<ApplyResult>> completed(ApplyResult result) {
        return CompletableFuture.completedFuture(Optional.of(result));
    }

    /** Outcome of one attempt; {@code failure} applies only when {@code result} is null. */
    private record AttemptOutcome(@Nullable ApplyResult result, FirwheelException failure) {}

    private record Change(
            TableSnapshot base,
            List<RowChange> changes,
            String author,
            String reason,
            String changeId,
            TableValidator.Options options) {}
}
