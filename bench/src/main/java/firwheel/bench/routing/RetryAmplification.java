package firwheel.bench.routing;

import firwheel.routing.RetryBudget;
import firwheel.routing.RetryBudgets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Measures attempts per offered request while targets fail; entries do not share their retry budgets. */
public final class RetryAmplification {
    static final int WINDOW_SECONDS = 10;

    private static final int ENTRIES = 18;
    private static final int REQUESTS_PER_ENTRY_SECOND = 12;
    private static final int MAX_ATTEMPTS = 3;
    private static final int ROWS = 12;
    private static final int ZONES = 3;
    private static final int FAULT_START_SECONDS = 60;
    private static final int FAULT_END_SECONDS = 120;

    private RetryAmplification() {}

    /** Scope of a fault. */
    public enum Fault {
        /** Every attempt on a row of one zone fails, and entries keep selecting those rows. */
        ONE_ZONE,
        /** Every attempt fails. */
        EVERYTHING
    }

    /** Prints the highest amplification of any window for each fault, with a retry budget and without. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        for (Fault fault : Fault.values()) {
            System.out.printf(
                    Locale.ROOT,
                    "%s: worst %d s window %.3f with budget, %.3f without%n",
                    fault,
                    WINDOW_SECONDS,
                    worstWindowAmplification(fault, seed, true),
                    worstWindowAmplification(fault, seed, false));
        }
    }

    /** Returns the ratio of attempts to requests in the window where it is highest. */
    static double worstWindowAmplification(Fault fault, long seed, boolean budgeted) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RetryBudgets> entries = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            entries.add(budgeted ? new RetryBudgets() : new RetryBudgets(() -> new RetryBudget(MAX_ATTEMPTS, 1e9)));
        }
        double worstRatio = 0;
        for (int start = 0; start < FAULT_END_SECONDS; start += WINDOW_SECONDS) {
            boolean faulty = start >= FAULT_START_SECONDS;
            double attempts = 0;
            for (RetryBudgets budgets : entries) {
                for (int i = 0; i < REQUESTS_PER_ENTRY_SECOND * WINDOW_SECONDS; i++) {
                    attempts += attempts(budgets, faulty ? fault : null, random);
                }
            }
            worstRatio = Math.max(worstRatio, attempts / (ENTRIES * REQUESTS_PER_ENTRY_SECOND * WINDOW_SECONDS));
        }
        return worstRatio;
    }

    private static int attempts(RetryBudgets budgets, @Nullable Fault fault, SplittableRandom random) {
        for (int attempt = 1; ; attempt++) {
            int row = random.nextInt(ROWS);
            boolean fails = fault == Fault.EVERYTHING || (fault == Fault.ONE_ZONE && row % ZONES == 0);
            if (!fails) {
                budgets.onSuccess("row-" + row);
                return attempt;
            }
            if (attempt == MAX_ATTEMPTS || !budgets.tryAcquire("row-" + row)) {
                return attempt;
            }
        }
    }
}
