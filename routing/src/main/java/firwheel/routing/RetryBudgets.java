package firwheel.routing;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The retry budgets of one entry: one for each row that fails and one for the entry as a whole. Thread-safe. */
public final class RetryBudgets {
    /** Retries earned by one success. */
    public static final double RETRIES_PER_SUCCESS = 0.05;

    /** Retries that can be saved up. */
    public static final double MAX_SAVED_RETRIES = 5;

    private final Supplier<RetryBudget> newBudget;
    private final RetryBudget entryBudget;
    private final Map<String, RetryBudget> rowBudgets = new ConcurrentHashMap<>();

    /** Creates budgets of the usual size. */
    public RetryBudgets() {
        this(() -> new RetryBudget(RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES));
    }

    /** Creates budgets as {@code newBudget} makes them. */
    public RetryBudgets(Supplier<RetryBudget> newBudget) {
        this.newBudget = newBudget;
        this.entryBudget = newBudget.get();
    }

    /** Notes a request that ended well at a row. */
    public void onSuccess(String row) {
        rowBudget(row).onSuccess();
        entryBudget.onSuccess();
    }

    /** Takes one retry of an attempt that failed at this row, or returns false if a budget is spent. */
    public boolean tryAcquire(String failedRow) {
        RetryBudget row = rowBudget(failedRow);
        if (!row.tryAcquire()) {
            return false;
        }
        if (!entryBudget.tryAcquire()) {
            row.release();
            return false;
        }
        return true;
    }

    /** Forgets the rows that are not in the table. */
    public void retain(Set<String> rowNames) {
        rowBudgets.keySet().retainAll(rowNames);
    }

    private RetryBudget rowBudget(String name) {
        return rowBudgets.computeIfAbsent(name, unused -> newBudget.get());
    }
}
