package firwheel.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class RetryAmplificationTest {
    private static final double MAX_AMPLIFICATION = 1.1;

    @ParameterizedTest
    @EnumSource
    void attemptsStayNearTheOfferedLoadInEveryWindowOfAFault(RetryAmplification.Fault fault) {
        assertThat(RetryAmplification.worstWindowAmplification(fault, 1, true)).isLessThanOrEqualTo(MAX_AMPLIFICATION);
        assertThat(RetryAmplification.worstWindowAmplification(fault, 1, false))
                .as("the fault does provoke retries")
                .isGreaterThan(MAX_AMPLIFICATION);
    }
}
