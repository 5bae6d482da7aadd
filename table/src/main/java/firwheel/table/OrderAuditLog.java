package firwheel.table;

import firwheel.store.CommitResult;
import firwheel.store.Condition;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import firwheel.store.Write;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Writes and reads the audit records of controllers' orders, one stored row for each batch. */
public final class OrderAuditLog {
    private static final int PAGE_ROWS = 1_000;

    private final TableService service;

    /** Creates an audit log in the platform's table service. */
    public OrderAuditLog(TableService service) {
        this.service = service;
    }

    /** Writes a batch. The write is idempotent, so it may be repeated after a lost response. */
    public CompletableFuture<CommitResult> append(OrderRecord record) {
        String key = TableKeys.order(record.availabilityZone(), record.fencingNumber(), record.sequence());
        return service.commit(
                new Transaction(List.of(new Condition(key, 0)), List.of(new Write(key, RowJson.writeValue(record)))));
    }

    /**
     * Reads at most 1,000 batches whose keys follow {@code afterKey}, ordered by zone, fencing number and sequence; an
     * empty key starts at the first.
     */
    public CompletableFuture<List<OrderRecord>> read(String afterKey) {
        return service.scan(TableKeys.ORDER_PREFIX, afterKey, PAGE_ROWS).thenApply(rows -> rows.stream()
                .map(row -> RowJson.readValue(row.value(), OrderRecord.class))
                .toList());
    }
}
