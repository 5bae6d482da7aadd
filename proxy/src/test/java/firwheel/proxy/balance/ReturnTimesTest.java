package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.proxy.balance.ReturnTimes.Reason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReturnTimesTest {
    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final int CALLERS_PER_SECOND = 40;

    private final ReturnTimes times = new ReturnTimes(new Random(11)::nextDouble);

    @Nested
    final class Advice {
        @Test
        void staysWithinWhatCallersWait() {
            for (Reason reason : Reason.values()) {
                for (int i = 0; i < 100; i++) {
                    assertThat(times.after(reason, DEADLINE)).isBetween(Duration.ofMillis(50), DEADLINE.dividedBy(3));
                }
            }
        }

        @Test
        void isMissingWhereNoTimeIsLeft() {
            assertThat(times.after(Reason.TARGETS_FULL, Duration.ofMillis(100))).isZero();
            assertThat(times.after(Reason.NO_TARGET_COMPUTES, Duration.ofMillis(-5)))
                    .isZero();
        }

        @Test
        void sendsToAnotherProcessAtOnceWhereOnlyThisOneCannotServe() {
            assertThat(times.after(Reason.PROCESS_NOT_READY, DEADLINE)).isEqualTo(Duration.ofMillis(50));
        }
    }

    /** A group is gone for 5.5 s and comes back; callers that are refused return once. */
    @Nested
    final class LongOutage {
        private static final double OUTAGE_SECONDS = 5.5;

        private List<Double> returnsAfterTheOutage() {
            List<Double> returns = new ArrayList<>();
            for (int i = 0; i < OUTAGE_SECONDS * CALLERS_PER_SECOND; i++) {
                double arrival = i / (double) CALLERS_PER_SECOND;
                double back = arrival
                        + times.after(Reason.NO_TARGET_COMPUTES, DEADLINE).toMillis() / 1000.0;
                if (back >= OUTAGE_SECONDS) {
                    returns.add(back);
                }
            }
            return returns;
        }

        /** With the longest wait, callers of the last 2.67 s of the outage could be served. */
        @Test
        void letsFourFifthsOfThoseComeBackInTimeWhoCould() {
            assertThat(returnsAfterTheOutage().size())
                    .isGreaterThanOrEqualTo((int) (0.8 * DEADLINE.toSeconds() / 3 * CALLERS_PER_SECOND));
        }

        @Test
        void doesNotLetThemComeBackTogether() {
            List<Double> returns = returnsAfterTheOutage();

            for (double from = OUTAGE_SECONDS; from < OUTAGE_SECONDS + 3; from += 0.1) {
                double start = from;
                assertThat(returns.stream().filter(back -> back >= start && back < start + 0.5))
                        .as("returns within half a second from %.1f s", start)
                        .hasSizeLessThanOrEqualTo(CALLERS_PER_SECOND);
            }
        }
    }
}
