package firwheel.admission;

import firwheel.store.CommitResult;
import firwheel.store.Condition;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import firwheel.store.Write;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * Group commit of independent conditional writes: writes submitted while a transaction is in flight are committed
 * together in a later one. If the conditions of some writes fail, these complete as conflicted and the other writes of
 * the group are submitted again. All calls and callbacks run on one executor.
 */
final class GroupCommitter {
    private static final int MAX_GROUP_SIZE = 64;

    private final TableService table;
    private final Executor executor;
    private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private boolean committing;

    GroupCommitter(TableService table, Executor executor) {
        this.table = table;
        this.executor = executor;
    }

    /**
     * Writes a row if it has the expected version; a null value deletes it. The future fails if the commit to the table
     * service fails.
     */
    CompletableFuture<WriteOutcome> submit(String key, long expectedVersion, @Nullable String value) {
        PendingWrite item =
                new PendingWrite(new Condition(key, expectedVersion), new Write(key, value), new CompletableFuture<>());
        pendingWrites.addLast(item);
        commitNext();
        return item.outcome();
    }

    private void commitNext() {
        if (committing || pendingWrites.isEmpty()) {
            return;
        }
        committing = true;
        List<PendingWrite> writes = nextGroup();
        Transaction transaction = new Transaction(
                writes.stream().map(PendingWrite::condition).toList(),
                writes.stream().map(PendingWrite::write).toList());
        CompletableFuture<?> unused = table.commit(transaction)
                .whenCompleteAsync((result, error) -> onCommitted(writes, result, error), executor);
    }

    private List<PendingWrite> nextGroup() {
        List<PendingWrite> writes = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        Iterator<PendingWrite> items = pendingWrites.iterator();
        while (items.hasNext() && writes.size() < MAX_GROUP_SIZE) {
            PendingWrite item = items.next();
            if (keys.add(item.condition().key())) {
                writes.add(item);
                items.remove();
            }
        }
        return writes;
    }

    private void onCommitted(List<PendingWrite> writes, @Nullable CommitResult result, @Nullable Throwable error) {
        committing = false;
        if (result == null) {
            Throwable cause = error == null
                    ? new IllegalStateException("table service returned neither a result nor an error")
                    : error;
            writes.forEach(item -> item.outcome().completeExceptionally(cause));
        } else if (result.applied()) {
            writes.forEach(item -> item.outcome().complete(new WriteOutcome.Applied()));
        } else {
            separateConflicts(writes, result.conflicts());
        }
        commitNext();
    }

    private void separateConflicts(List<PendingWrite> writes, List<StoredRow> conflicts) {
        Map<String, StoredRow> storedRows = new HashMap<>();
        conflicts.forEach(row -> storedRows.put(row.key(), row));
        List<PendingWrite> conflicted = new ArrayList<>();
        for (int i = writes.size() - 1; i >= 0; i--) {
            PendingWrite item = writes.get(i);
            if (storedRows.containsKey(item.condition().key())) {
                conflicted.add(item);
            } else {
                pendingWrites.addFirst(item);
            }
        }
        for (PendingWrite item : conflicted) {
            StoredRow row = storedRows.get(item.condition().key());
            if (row != null) {
                item.outcome().complete(new WriteOutcome.Conflicted(row));
            }
        }
    }

    private record PendingWrite(Condition condition, Write write, CompletableFuture<WriteOutcome> outcome) {}
}
