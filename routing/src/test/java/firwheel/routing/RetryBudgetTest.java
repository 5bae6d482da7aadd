package firwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    @Test
    void allowsAShareOfSuccessesAndWhatWasSaved() {
        RetryBudget budget = new RetryBudget(0.1, 2);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();

        for (int i = 0; i < 11; i++) {
            budget.onSuccess();
        }
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
        budget.giveBack();
        assertThat(budget.tryRetry()).isTrue();
    }

    @Test
    void aRowThatFailsCannotSpendMoreThanItsOwnBudgetNorTheEntryMoreThanItsOne() {
        RetryBudgets budgets = new RetryBudgets(() -> new RetryBudget(0.1, 2));
        assertThat(budgets.tryRetry("a")).isTrue();
        assertThat(budgets.tryRetry("a")).isTrue();
        assertThat(budgets.tryRetry("a")).isFalse();
        assertThat(budgets.tryRetry("b")).as("the entry's budget is spent").isFalse();
        for (int i = 0; i < 11; i++) {
            budgets.onSuccess("c");
        }
        assertThat(budgets.tryRetry("b")).as("the row's budget was given back").isTrue();
    }
}
