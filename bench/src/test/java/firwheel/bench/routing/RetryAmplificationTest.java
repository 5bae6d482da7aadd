package firwheel.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class RetryAmplificationTest {
    private static final double MAX_AMPLIFICATION = 1.1;

    @ParameterizedTest
    @EnumSource
    void retryBudgetLimitsAmplificationInEveryWindowOfAFault(RetryAmplification.Fault fault) {
        assertThat(RetryAmplification.worstWindowAmplification(fault, 1, true)).isLessThanOrEqualTo(MAX_AMPLIFICATION);
        assertThat(RetryAmplification.worstWindowAmplification(fault, 1, false))
                .as("amplification without a retry budget")
                .isGreaterThan(MAX_AMPLIFICATION);
    }
}
