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
    private static final int READING_INTERVAL_MILLIS = 250;
    private static final int MIN_STEP_MILLIS = 60;
    private static final int MAX_STEP_MILLIS = 200;

    private static final RolloutLimits LIMITS = new RolloutLimits(
            8, Duration.ofMillis(100), Duration.ofSeconds(4), Duration.ofMillis(600), Duration.ofMillis(400));

    /**
     * How long the calls of a controller take.
     *
     * @param readingMillis reading of all ranks
     * @param ordersMillis orders to all ranks
     * @param readingIntervalMillis time after which all ranks are read again, whatever the rollout waits for
     */
    private record Calls(int readingMillis, int ordersMillis, int readingIntervalMillis) {}

    /** A group that starts steps of equal duration, and what its controller does to switch its map. */
    private static final class TimedGroup {
        final GroupModel group = new GroupModel(RANKS);
        final int stepMillis;
        final Calls calls;
        long nowMillis;
        long nextStepMillis;
        long blockedMillis;

        TimedGroup(int stepMillis, int firstStepMillis, Calls calls) {
            this.stepMillis = stepMillis;
            this.calls = calls;
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
            rollout.setLimits(LIMITS.withExchangeTime(Duration.ofMillis(calls.readingMillis())));
            List<RankView> views = group.views();
            long nextReadingMillis = 0;
            while (!rollout.finished()) {
                int decidingRank = rollout.decidingRank();
                if (decidingRank == RankView.NONE || nowMillis >= nextReadingMillis) {
                    views = group.views();
                    nextReadingMillis = nowMillis + calls.readingIntervalMillis();
                    pass(calls.readingMillis());
                } else {
                    views.set(decidingRank, group.views().get(decidingRank));
                    pass(CALL_MILLIS);
                }
                List<RankOrder> orders = rollout.nextOrders(views, nowMillis);
                pass(orders.size() > 1 ? calls.ordersMillis() : CALL_MILLIS);
                orders.forEach(group::execute);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 40, 80, 120})
    void switchDoesNotBlockGroupIfOrdersTakeAsLongAsReading(int readingMillis) {
        switchWithoutBlocking(MIN_STEP_MILLIS, new Calls(readingMillis, readingMillis, Integer.MAX_VALUE));
    }

    /** The lead is limited to a number of steps, so they must not be shorter than a reading. */
    @ParameterizedTest
    @ValueSource(ints = {10, 40, 80, 120})
    void switchDoesNotBlockGroupIfOrdersTakeTwiceAsLongAndReadingIsDue(int readingMillis) {
        switchWithoutBlocking(
                Math.max(MIN_STEP_MILLIS, readingMillis),
                new Calls(readingMillis, 2 * readingMillis, READING_INTERVAL_MILLIS));
    }

    private static void switchWithoutBlocking(int minStepMillis, Calls calls) {
        for (int stepMillis = minStepMillis; stepMillis <= MAX_STEP_MILLIS; stepMillis += 10) {
            for (int firstStepMillis = 1; firstStepMillis < stepMillis; firstStepMillis += 5) {
                TimedGroup timed = new TimedGroup(stepMillis, firstStepMillis, calls);
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
