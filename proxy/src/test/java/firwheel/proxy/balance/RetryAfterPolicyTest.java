package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RetryAfterPolicyTest {
    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final int CLIENTS_PER_SECOND = 40;

    private final RetryAfterPolicy policy = new RetryAfterPolicy(new Random(11)::nextDouble);

    @Nested
    final class RetryDelay {
        @Test
        void staysBetweenMinAndMaxDelay() {
            for (Reason reason : Reason.values()) {
                for (int i = 0; i < 100; i++) {
                    assertThat(policy.retryDelay(reason, DEADLINE))
                            .isBetween(Duration.ofMillis(50), DEADLINE.dividedBy(3));
                }
            }
        }

        @Test
        void isZeroWithoutRemainingTime() {
            assertThat(policy.retryDelay(Reason.TARGETS_FULL, Duration.ofMillis(100)))
                    .isZero();
            assertThat(policy.retryDelay(Reason.NO_TARGET_AVAILABLE, Duration.ofMillis(-5)))
                    .isZero();
        }

        @Test
        void isMinimalWhenOnlyThisProcessIsNotReady() {
            assertThat(policy.retryDelay(Reason.PROCESS_NOT_READY, DEADLINE)).isEqualTo(Duration.ofMillis(50));
        }
    }

    /** A group is unavailable for 5.5 s; each rejected client retries once. */
    @Nested
    final class LongOutage {
        private static final double OUTAGE_SECONDS = 5.5;

        private List<Double> retryTimesAfterOutage() {
            List<Double> retryTimes = new ArrayList<>();
            for (int i = 0; i < OUTAGE_SECONDS * CLIENTS_PER_SECOND; i++) {
                double arrival = i / (double) CLIENTS_PER_SECOND;
                double retryTime = arrival
                        + policy.retryDelay(Reason.NO_TARGET_AVAILABLE, DEADLINE)
                                        .toMillis()
                                / 1000.0;
                if (retryTime >= OUTAGE_SECONDS) {
                    retryTimes.add(retryTime);
                }
            }
            return retryTimes;
        }

        /** With the maximum delay, clients rejected in the last 2.67 s of the outage could retry after it. */
        @Test
        void letsFourFifthsOfEligibleClientsRetryAfterOutage() {
            assertThat(retryTimesAfterOutage().size())
                    .isGreaterThanOrEqualTo((int) (0.8 * DEADLINE.toSeconds() / 3 * CLIENTS_PER_SECOND));
        }

        @Test
        void spreadsRetriesAfterOutage() {
            List<Double> retryTimes = retryTimesAfterOutage();

            for (double from = OUTAGE_SECONDS; from < OUTAGE_SECONDS + 3; from += 0.1) {
                double start = from;
                assertThat(retryTimes.stream().filter(retryTime -> retryTime >= start && retryTime < start + 0.5))
                        .as("retries within half a second from %.1f s", start)
                        .hasSizeLessThanOrEqualTo(CLIENTS_PER_SECOND);
            }
        }
    }
}
