package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 209;
    private static final double WINDOW_SECONDS = 10;
    private static final int ENTRIES = 20;
    private static final int NO_RESTART = -1;

    /** Every entry retries as often as its budget allows, under bursty load; the limit must hold in every window. */
    @Test
    void boundsRetriesOfAllEntriesInEveryWindow() {
        retryAsOftenAsAllowed(NO_RESTART);
    }

    @Test
    @Tag("known-red")
    void boundsRetriesWhenAllEntriesAreStartedAgain() {
        retryAsOftenAsAllowed(1_500);
    }

    private static void retryAsOftenAsAllowed(int requestsBeforeRestart) {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
            List<RetryBudget> budgets = newBudgets(time);
            List<Long> requests = new ArrayList<>();
            List<Long> retries = new ArrayList<>();
            for (int i = 0; i < 6_000; i++) {
                budgets = i == requestsBeforeRestart ? newBudgets(time) : budgets;
                boolean burst = (i / 1_000) % 2 == 0;
                time.advance(Duration.ofMillis(random.nextInt(burst ? 6 : 60)));
                RetryBudget budget = budgets.get(random.nextInt(ENTRIES));
                budget.onRequest();
                requests.add(time.monotonicMillis());
                while (budget.tryAcquire()) {
                    retries.add(time.monotonicMillis());
                }
            }
            assertWithinLimit(requests, retries);
        }
    }

    private static List<RetryBudget> newBudgets(TimeSource time) {
        List<RetryBudget> budgets = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            budgets.add(new RetryBudget(time, RATIO, ALLOWANCE, WINDOW_SECONDS, ENTRIES));
        }
        return budgets;
    }

    private static void assertWithinLimit(List<Long> requests, List<Long> retries) {
        long windowMillis = (long) (WINDOW_SECONDS * 1_000);
        for (int i = 0; i < retries.size(); i += 7) {
            long end = retries.get(i);
            long retriesInWindow = count(retries, end - windowMillis, end);
            long requestsInWindow = count(requests, end - windowMillis, end);
            // A retry early in the window was allowed by requests of up to one window before it.
            long requestsBefore = count(requests, end - 2 * windowMillis, end - windowMillis);
            long requestsBetween = count(requests, end - windowMillis * 3 / 2, end - windowMillis / 2);
            long maxRequests = Math.max(requestsInWindow, Math.max(requestsBefore, requestsBetween));
            assertThat((double) retriesInWindow).isLessThanOrEqualTo(RATIO * maxRequests + ALLOWANCE);
        }
    }

    private static long count(List<Long> times, long after, long until) {
        return times.stream().filter(time -> time > after && time <= until).count();
    }
}
