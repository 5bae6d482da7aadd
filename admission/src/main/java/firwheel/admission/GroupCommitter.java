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
 * Commits independent conditional writes in groups: while one transaction is under way the next group gathers. A write
 * whose condition fails is taken out and answered, and the others are committed without it. All calls and callbacks run
 * on one executor.
 */
final class GroupCommitter {
    private static final int MAX_GROUP = 64;

    private final TableService table;
    private final Executor executor;
    private final ArrayDeque<Item> waiting = new ArrayDeque<>();
    private boolean committing;

    GroupCommitter(TableService table, Executor executor) {
        this.table = table;
        this.executor = executor;
    }

    /** Writes a row if it has the expected version; a null value deletes it. Fails as the table service does. */
    CompletableFuture<WriteOutcome> submit(String key, long expectedVersion, @Nullable String value) {
        Item item = new Item(new Condition(key, expectedVersion), new Write(key, value), new CompletableFuture<>());
        waiting.addLast(item);
        commitNext();
        return item.outcome();
    }

    private void commitNext() {
        if (committing || waiting.isEmpty()) {
            return;
        }
        committing = true;
        List<Item> group = nextGroup();
        Transaction transaction = new Transaction(
                group.stream().map(Item::condition).toList(),
                group.stream().map(Item::write).toList());
        CompletableFuture<?> unused = table.commit(transaction)
                .whenCompleteAsync((result, error) -> onCommitted(group, result, error), executor);
    }

    private List<Item> nextGroup() {
        List<Item> group = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        Iterator<Item> items = waiting.iterator();
        while (items.hasNext() && group.size() < MAX_GROUP) {
            Item item = items.next();
            if (keys.add(item.condition().key())) {
                group.add(item);
                items.remove();
            }
        }
        return group;
    }

    private void onCommitted(List<Item> group, @Nullable CommitResult result, @Nullable Throwable error) {
        committing = false;
        if (result == null) {
            Throwable cause = error == null ? new IllegalStateException("no result") : error;
            group.forEach(item -> item.outcome().completeExceptionally(cause));
        } else if (result.applied()) {
            group.forEach(item -> item.outcome().complete(new WriteOutcome.Applied()));
        } else {
            splitOff(group, result.conflicts());
        }
        commitNext();
    }

    private void splitOff(List<Item> group, List<StoredRow> conflicts) {
        Map<String, StoredRow> present = new HashMap<>();
        conflicts.forEach(row -> present.put(row.key(), row));
        List<Item> conflicted = new ArrayList<>();
        for (int i = group.size() - 1; i >= 0; i--) {
            Item item = group.get(i);
            if (present.containsKey(item.condition().key())) {
                conflicted.add(item);
            } else {
                waiting.addFirst(item);
            }
        }
        for (Item item : conflicted) {
            StoredRow row = present.get(item.condition().key());
            if (row != null) {
                item.outcome().complete(new WriteOutcome.Conflicted(row));
            }
        }
    }

    private record Item(Condition condition, Write write, CompletableFuture<WriteOutcome> outcome) {}
}
