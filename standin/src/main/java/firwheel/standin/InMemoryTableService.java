package firwheel.standin;

import firwheel.store.CommitResult;
import firwheel.store.Condition;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import firwheel.store.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Table service that keeps its rows in memory. Thread-safe. */
public final class InMemoryTableService implements TableService {
    private final TreeMap<String, StoredRow> rows = new TreeMap<>();
    private final TreeMap<String, Long> lastVersions = new TreeMap<>();

    @Override
    public synchronized CompletableFuture<List<StoredRow>> read(List<String> keys) {
        List<StoredRow> found = new ArrayList<>();
        for (String key : keys) {
            StoredRow row = rows.get(key);
            if (row != null) {
                found.add(row);
            }
        }
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public synchronized CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
        List<StoredRow> found = rows.tailMap(from, !from.equals(afterKey)).values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
        List<StoredRow> conflicts = new ArrayList<>();
        for (Condition condition : transaction.conditions()) {
            StoredRow present = rows.getOrDefault(condition.key(), new StoredRow(condition.key(), 0, ""));
            if (present.version() != condition.expectedVersion()) {
                conflicts.add(present);
            }
        }
        if (conflicts.isEmpty()) {
            transaction.writes().forEach(this::apply);
        }
        return CompletableFuture.completedFuture(new CommitResult(conflicts.isEmpty(), conflicts));
    }

    private void apply(Write write) {
        long version = lastVersions.merge(write.key(), 1L, Long::sum);
        String value = write.value();
        if (value == null) {
            rows.remove(write.key());
        } else {
            rows.put(write.key(), new StoredRow(write.key(), version, value));
        }
    }
}
