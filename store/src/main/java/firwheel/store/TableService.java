package firwheel.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service. Futures fail with {@code FW-6001} when it surely had no effect, and with
 * {@code FW-6003} when a write may have taken effect and its answer was lost.
 */
public interface TableService {
    /** Reads rows by key; absent rows are left out. */
    CompletableFuture<List<StoredRow>> read(List<String> keys);

    /** Reads rows whose key starts with {@code prefix} and follows {@code afterKey}, in key order. */
    CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit);

    /** Applies a transaction. */
    CompletableFuture<CommitResult> commit(Transaction transaction);
}
