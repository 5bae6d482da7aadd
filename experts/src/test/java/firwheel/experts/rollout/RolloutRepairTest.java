package firwheel.experts.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.experts.rollout.MapRollout.Phase;
import firwheel.experts.rollout.RankOrder.Action;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** States of a group that rollouts do not lead to, which are repaired nevertheless. */
final class RolloutRepairTest {
    private static final int[][][] MAP = {{{0}, {1}, {2}}};
    private static final int RANKS = 3;
    private static final int HOLD_RANK = RANKS - 1;
    private static final long OTHER_VERSION = 5;
    private static final RolloutLimits LIMITS =
            new RolloutLimits(2, Duration.ZERO, Duration.ofMillis(9), Duration.ofMillis(9), Duration.ofMillis(9));

    private final GroupModel group = new GroupModel(RANKS);
    private final HoldSteps holdSteps = new HoldSteps();

    private void play(MapRollout rollout) {
        for (int round = 0; round < 100 && !rollout.finished(); round++) {
            rollout.nextOrders(group.views(), round).forEach(group::execute);
            if (rollout.phase() == Phase.RELEASING) {
                group.startStep();
            }
        }
    }

    @Nested
    final class DifferentMaps {
        /** Guards against groups that run with different maps until one of their ranks is lost. */
        @Test
        void areReplacedBeforeAnIdleGroupStartsItsNextStep() {
            group.setMap(0, OTHER_VERSION);
            MapRollout rollout = MapRollout.repair(LIMITS, holdSteps, group.views(), 10, MAP, 0);
            rollout.nextOrders(group.views(), 0).forEach(group::execute);

            assertThat(group.startStep()).isFalse();
            play(rollout);

            assertThat(rollout.phase()).isEqualTo(Phase.DONE);
            assertThat(group.views()).allMatch(view -> view.mapVersion() == 10 && !view.isHolding());
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
        void areReplacedThoughOrdersAreLateAndRepairsRepeated(long seed) {
            group.setMap((int) seed % RANKS, OTHER_VERSION);
            Random random = new Random(seed);
            List<RankOrder> late = new ArrayList<>();
            MapRollout rollout = MapRollout.repair(LIMITS, holdSteps, group.views(), 10, MAP, 0);
            boolean held = false;
            for (int round = 0; round < 400 && rollout.phase() != Phase.DONE; round++) {
                if (rollout.finished()) {
                    rollout = MapRollout.repair(LIMITS, holdSteps, group.views(), 10 + 2L * round, MAP, round);
                }
                for (RankOrder order : rollout.nextOrders(group.views(), round)) {
                    if (round < 100 && random.nextInt(3) == 0) {
                        late.add(order);
                    } else {
                        group.execute(order);
                    }
                }
                if (!late.isEmpty() && random.nextInt(3) == 0) {
                    group.execute(late.remove(random.nextInt(late.size())));
                }
                held |= group.isHeld();
                boolean started = random.nextBoolean() && group.startStep();
                assertThat(started && held && !group.sameMaps())
                        .as("a step starts with different maps after the hold")
                        .isFalse();
            }

            assertThat(rollout.phase()).isEqualTo(Phase.DONE);
            assertThat(group.sameMaps()).isTrue();
        }
    }

    @Nested
    final class LostHold {
        /** Guards against taking a group for committed because the hold has ended, so that some ranks stay armed. */
        @Test
        void isRestoredUntilAllRanksAreDisarmed() {
            MapRollout rollout = MapRollout.start(LIMITS, holdSteps, group.views(), 10, HOLD_RANK, MAP, MAP, 0);
            while (group.views().stream().noneMatch(RankView::isArmed)) {
                rollout.nextOrders(group.views(), 0).forEach(group::execute);
            }
            long heldStep = group.views().get(HOLD_RANK).heldStep();
            group.execute(new RankOrder(HOLD_RANK, Action.RELEASE, RankView.NONE, heldStep, 1, MAP));

            play(rollout);
            for (int step = 0; step < 3; step++) {
                group.startStep();
                assertThat(group.sameMaps()).isTrue();
            }

            assertThat(rollout.holdLost()).isTrue();
            assertThat(rollout.phase()).isEqualTo(Phase.ABORTED);
        }
    }
}
