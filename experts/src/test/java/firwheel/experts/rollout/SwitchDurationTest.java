package firwheel.experts.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SwitchDurationTest {
    private static final int[][][] MAP = {{{0}, {1}}};
    private static final int RANKS = 3;
    private static final int CALL_MILLIS = 4; // of one rank
    private static final int MAX_READING_AGE_MILLIS = 250;

    private static final RolloutLimits LIMITS = new RolloutLimits(
            8, Duration.ofMillis(100), Duration.ofSeconds(4), Duration.ofMillis(600), Duration.ofMillis(400));

    /**
     * A group that starts steps of equal duration, and a controller whose readings of all ranks take the exchange time
     * and whose orders to all ranks take twice as long.
     */
    private static final class TimedGroup {
        final GroupModel group = new GroupModel(RANKS);
        final int stepMillis;
        final int exchangeMillis;
        long nowMillis;
        long nextStepMillis;
        long blockedMillis;

        TimedGroup(int stepMillis, int firstStepMillis, int exchangeMillis) {
            this.stepMillis = stepMillis;
            this.exchangeMillis = exchangeMillis;
            nextStepMillis = firstStepMillis;
        }

        void pass(int millis) {
            for (int i = 0; i < millis; i++) {
                nowMillis++;
                if (nowMillis >= nextStepMillis && group.startStep()) {
                    blockedMillis += nowMillis - nextStepMillis;
                    nextStepMillis = nowMillis + stepMillis;
                }
            }
        }

        void run(MapRollout rollout) {
            rollout.setLimits(LIMITS.withExchangeTime(Duration.ofMillis(exchangeMillis)));
            List<RankView> views = group.views();
            long readMillis = -MAX_READING_AGE_MILLIS;
            while (!rollout.finished()) {
                int decidingRank = rollout.decidingRank();
                if (decidingRank == RankView.NONE || nowMillis - readMillis >= MAX_READING_AGE_MILLIS) {
                    views = group.views();
                    readMillis = nowMillis;
                    pass(exchangeMillis);
                } else {
                    views.set(decidingRank, group.views().get(decidingRank));
                    pass(CALL_MILLIS);
                }
                List<RankOrder> orders = rollout.nextOrders(views, nowMillis);
                pass(orders.size() > 1 ? 2 * exchangeMillis : CALL_MILLIS);
                orders.forEach(group::execute);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 40, 80, 120})
    void doesNotBlockGroupWhoseRanksAnswerWithinExchangeTime(int exchangeMillis) {
        int minStepMillis = Math.max(60, exchangeMillis); // the lead is limited to a number of steps
        for (int stepMillis = minStepMillis; stepMillis <= 200; stepMillis += 10) {
            for (int firstStepMillis = 1; firstStepMillis < stepMillis; firstStepMillis += 5) {
                TimedGroup timed = new TimedGroup(stepMillis, firstStepMillis, exchangeMillis);
                List<RankView> views = timed.group.views();
                MapRollout rollout =
                        MapRollout.start(LIMITS, new HoldSteps(), views, 1, RANKS - 1, MAP, MAP, timed.nowMillis);
                timed.pass(1_000); // so that the rate of steps is known
                timed.run(rollout);

                assertThat(rollout.phase()).isEqualTo(MapRollout.Phase.DONE);
                assertThat(timed.blockedMillis)
                        .as("steps of %d ms, the first at %d ms", stepMillis, firstStepMillis)
                        .isZero();
            }
        }
    }
}
