package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RepeatBudgetTest {
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 209;
    private static final double WINDOW_SECONDS = 10;
    private static final int ENTRIES = 20;

    /** Every entry repeats whenever it may, under load that comes and goes; the rule holds in every window. */
    @Test
    void boundsTheRepeatsOfAllEntriesInEveryWindow() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
            List<RetryBudget> budgets = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                budgets.add(new RetryBudget(time, RATIO, ALLOWANCE, WINDOW_SECONDS, ENTRIES));
            }
            List<Long> requests = new ArrayList<>();
            List<Long> repeats = new ArrayList<>();
            for (int i = 0; i < 6_000; i++) {
                boolean burst = (i / 1_000) % 2 == 0;
                time.advance(Duration.ofMillis(random.nextInt(burst ? 6 : 60)));
                RetryBudget budget = budgets.get(random.nextInt(ENTRIES));
                budget.onRequest();
                requests.add(time.monotonicMillis());
                while (budget.tryRepeat()) {
                    repeats.add(time.monotonicMillis());
                }
            }
            assertRule(requests, repeats);
        }
    }

    private static void assertRule(List<Long> requests, List<Long> repeats) {
        long windowMillis = (long) (WINDOW_SECONDS * 1_000);
        for (int i = 0; i < repeats.size(); i += 7) {
            long end = repeats.get(i);
            long inWindow = count(repeats, end - windowMillis, end);
            long own = count(requests, end - windowMillis, end);
            long before = count(requests, end - 2 * windowMillis, end - windowMillis);
            long between = count(requests, end - windowMillis * 3 / 2, end - windowMillis / 2);
            long counted = Math.max(own, Math.max(before, between));
            assertThat((double) inWindow).isLessThanOrEqualTo(RATIO * counted + ALLOWANCE);
        }
    }

    private static long count(List<Long> times, long after, long until) {
        return times.stream().filter(time -> time > after && time <= until).count();
    }
}
