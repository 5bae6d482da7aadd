package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.proxy.config.EngineConfig;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class FillLimitTest {
    private static final int SLOTS = 8;
    private static final Duration OBJECTIVE = Duration.ofMillis(100);
    /** A pass takes 40 ms without sequences and 80 ms with all slots in use. */
    private static final EngineConfig ENGINE =
            new EngineConfig(SLOTS, 0, 4, 10, 1.25, 0, 0, 0, 0, 0, 0, 0, Duration.ZERO);

    private final FillLimit limit = new FillLimit();
    private double fill = 1;

    /** Passes by the model, longer by a factor, at the fill that the limit allows. */
    private void passes(int intervals, double factor) {
        for (int interval = 0; interval < intervals; interval++) {
            for (int pause = 0; pause < 10; pause++) {
                limit.onPause(Duration.ofMillis(Math.round(factor * (40 + 40 * fill))), OBJECTIVE);
            }
            limit.update(ENGINE, fill);
            fill = limit.slots(SLOTS) / (double) SLOTS;
        }
    }

    @Test
    void leavesAllSlotsToAGroupWhosePassesKeepTheObjective() {
        passes(40, 1);

        assertThat(limit.slots(SLOTS)).isEqualTo(SLOTS);
    }

    @Test
    void staysAtTheFillAtWhichLongerPassesKeepTheObjective() {
        passes(40, 1.5);

        assertThat(limit.slots(SLOTS)).isBetween(SLOTS / 2, SLOTS - 2);
        assertThat(1.5 * (40 + 40 * fill)).isLessThanOrEqualTo(100);
    }

    /** A slow rank, for example; fewer requests would be late as well. */
    @Test
    void isLiftedIfNoFillKeepsTheObjective() {
        passes(40, 4);

        assertThat(limit.slots(SLOTS)).isEqualTo(SLOTS);
    }

    @Test
    void isLiftedOncePassesAreShortAgain() {
        passes(40, 1.5);
        passes(40, 1);

        assertThat(limit.slots(SLOTS)).isEqualTo(SLOTS);
    }

    @Test
    void isNotLoweredForASingleStall() {
        passes(20, 1);
        passes(2, 1.5);
        passes(10, 1);

        assertThat(limit.slots(SLOTS)).isEqualTo(SLOTS);
    }
}
