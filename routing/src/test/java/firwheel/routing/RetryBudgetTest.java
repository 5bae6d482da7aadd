package firwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    @Test
    void allowsAFractionOfSuccessesAndTheInitialBudget() {
        RetryBudget budget = new RetryBudget(0.1, 2);
        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isFalse();

        for (int i = 0; i < 11; i++) {
            budget.onSuccess();
        }
        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isFalse();
        budget.release();
        assertThat(budget.tryAcquire()).isTrue();
    }

    @Test
    void retriesAreLimitedByTheBudgetsOfTheRowAndOfTheEntry() {
        RetryBudgets budgets = new RetryBudgets(() -> new RetryBudget(0.1, 2));
        assertThat(budgets.tryAcquire("a")).isTrue();
        assertThat(budgets.tryAcquire("a")).isTrue();
        assertThat(budgets.tryAcquire("a")).isFalse();
        assertThat(budgets.tryAcquire("b"))
                .as("the entry's budget has no retry left")
                .isFalse();
        for (int i = 0; i < 11; i++) {
            budgets.onSuccess("c");
        }
        assertThat(budgets.tryAcquire("b"))
                .as("the retry was returned to the row's budget")
                .isTrue();
    }
}
