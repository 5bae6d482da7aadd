package firwheel.routing;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Retry budgets of one entry: one for each row and one for the whole entry. Thread-safe. */
public final class RetryBudgets {
    /** Number of retries that one success adds to a budget. */
    public static final double RETRIES_PER_SUCCESS = 0.05;

    /** Maximum number of retries in a budget. */
    public static final double MAX_SAVED_RETRIES = 5;

    private final Supplier<RetryBudget> newBudget;
    private final RetryBudget entryBudget;
    private final Map<String, RetryBudget> rowBudgets = new ConcurrentHashMap<>();

    /** Creates budgets of the default size. */
    public RetryBudgets() {
        this(() -> new RetryBudget(RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES));
    }

    /** Creates budgets with {@code newBudget}. */
    public RetryBudgets(Supplier<RetryBudget> newBudget) {
        this.newBudget = newBudget;
        this.entryBudget = newBudget.get();
    }

    /** Records a request that succeeded at a row. */
    public void onSuccess(String row) {
        rowBudget(row).onSuccess();
        entryBudget.onSuccess();
    }

    /** Takes one retry from the budgets of the failed row and of the entry; returns false if either has none left. */
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

    /** Removes the budgets of rows that are not in {@code rowNames}. */
    public void retain(Set<String> rowNames) {
        rowBudgets.keySet().retainAll(rowNames);
    }

    private RetryBudget rowBudget(String name) {
        return rowBudgets.computeIfAbsent(name, unused -> newBudget.get());
    }
}
