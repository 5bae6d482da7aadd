package firwheel.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service. A returned future fails with {@code FW-6001} when the call certainly had
 * no effect, and with {@code FW-6003} when the response to a write was lost and the write may have been applied.
 */
public interface TableService {
    /** Reads rows by key; absent rows are omitted from the result. */
    CompletableFuture<List<StoredRow>> read(List<String> keys);

    /**
     * Reads at most {@code limit} rows whose keys start with {@code prefix} and follow {@code afterKey}, in key order.
     */
    CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit);

    /** Commits a transaction. */
    CompletableFuture<CommitResult> commit(Transaction transaction);
}
