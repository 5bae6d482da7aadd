package firwheel.experts.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Several rollouts in series, while orders of earlier ones are still executed. */
final class RolloutSeriesTest {
    private static final int[][][] MAP = {{{0}, {1}}};
    private static final RolloutLimits LIMITS =
            new RolloutLimits(2, Duration.ZERO, Duration.ofMillis(2), Duration.ofMillis(1), Duration.ofMillis(1));
    private static final int MAX_ROUNDS = 17;

    /** Guards against a delayed order to release an aborted rollout that releases the hold of a later one. */
    @Nested
    final class OfAnIdleGroup {
        @Test
        void neverMixMapsNorLoseHolds() {
            assertThat(new Explorer(true).faultWithin(MAX_ROUNDS)).isEmpty();
        }

        @Test
        void wouldMixMapsIfTheyHeldAtTheSameStep() {
            assertThat(new Explorer(false).faultWithin(MAX_ROUNDS)).isPresent();
        }
    }

    /**
     * Explores all schedules of a group of two ranks with two rollouts; another controller may take over
     * once. Up to two orders are executed later than they were sent, in any order, and repetitions of an order are lost
     * until it is executed. Steps start from any moment on, as requests arrive.
     */
    private static final class Explorer {
        private static final int MAX_DELAYED = 2;
        private static final int ROLLOUTS = 2;

        private final boolean sharesHoldSteps;
        private final Set<String> states = new HashSet<>();
        private final List<Integer> optionCounts = new ArrayList<>();

        Explorer(boolean sharesHoldSteps) {
            this.sharesHoldSteps = sharesHoldSteps;
        }

        /** Returns a schedule of at most {@code rounds} rounds that leads to a fault, if there is one. */
        Optional<String> faultWithin(int rounds) {
            List<Integer> choices = new ArrayList<>();
            do {
                Run run = new Run(choices, rounds);
                if (!run.execute()) {
                    return Optional.of(String.join("\n", run.events));
                }
                while (choices.size() > run.choicesUsed) {
                    choices.remove(choices.size() - 1);
                }
            } while (advanceToNextSchedule(choices));
            return Optional.empty();
        }

        private boolean advanceToNextSchedule(List<Integer> choices) {
            while (!choices.isEmpty()) {
                int last = choices.size() - 1;
                if (choices.get(last) + 1 < optionCounts.get(last)) {
                    choices.set(last, choices.get(last) + 1);
                    return true;
                }
                choices.remove(last);
            }
            return false;
        }

        private final class Run {
            private final List<Integer> choices;
            private final int rounds;
            private final GroupModel group = new GroupModel(2);
            private final List<RankOrder> delayedOrders = new ArrayList<>();
            private final List<String> events = new ArrayList<>();
            private final HoldSteps sharedHoldSteps = new HoldSteps();
            private MapRollout rollout = start(10, 0);
            private int startedRollouts = 1;
            private boolean takenOver;
            private boolean running;
            private int delayedCount;
            private int choicesUsed;

            Run(List<Integer> choices, int rounds) {
                this.choices = choices;
                this.rounds = rounds;
            }

            private MapRollout start(long version, int round) {
                return MapRollout.start(LIMITS, holdSteps(), group.views(), version, 1, MAP, MAP, round);
            }

            private HoldSteps holdSteps() {
                return sharesHoldSteps ? sharedHoldSteps : new HoldSteps();
            }

            private int choose(int optionCount) {
                if (choicesUsed == choices.size()) {
                    choices.add(0);
                }
                while (optionCounts.size() <= choicesUsed) {
                    optionCounts.add(0);
                }
                optionCounts.set(choicesUsed, optionCount);
                return choices.get(choicesUsed++);
            }

            /** Returns whether the invariants held. */
            boolean execute() {
                for (int round = 0; round < rounds; round++) {
                    nextRollout(round);
                    for (RankOrder order : rollout.nextOrders(group.views(), round)) {
                        sendOrDelay(order);
                    }
                    executeDelayedOrder();
                    startStep();
                    if (!group.sameMaps() || rollout.holdLost()) {
                        events.add("fault: " + group.describe());
                        return false;
                    }
                    String state = group.describe()
                            + delayedOrders
                            + rollout
                            + round
                            + delayedCount
                            + running
                            + takenOver
                            + startedRollouts;
                    if (!states.add(state) && choicesUsed >= choices.size()) {
                        return true;
                    }
                }
                return true;
            }

            private void nextRollout(int round) {
                if (rollout.finished() && startedRollouts < ROLLOUTS) {
                    rollout = start(10L * ++startedRollouts, round);
                    events.add("rollout " + startedRollouts + " starts");
                } else if (!takenOver && round > 0 && choose(2) == 1) {
                    takenOver = true;
                    rollout = MapRollout.takeOver(
                            LIMITS, holdSteps(), group.views(), 10L * startedRollouts + 2, MAP, round);
                    events.add("another controller takes over");
                }
            }

            private void sendOrDelay(RankOrder order) {
                boolean repeated = delayedOrders.contains(order);
                boolean mayBeLate = repeated || delayedCount < MAX_DELAYED;
                if (!mayBeLate || choose(2) == 0) {
                    events.add("executes " + describe(order));
                    group.execute(order);
                } else if (!repeated) {
                    events.add("delays " + describe(order));
                    delayedOrders.add(order);
                    delayedCount++;
                }
            }

            private void executeDelayedOrder() {
                int chosen = delayedOrders.isEmpty() ? 0 : choose(1 + delayedOrders.size());
                if (chosen > 0) {
                    RankOrder order = delayedOrders.remove(chosen - 1);
                    events.add("executes late " + describe(order));
                    group.execute(order);
                }
            }

            private void startStep() {
                running = running || choose(2) == 1;
                if (running && group.startStep()) {
                    events.add("a step starts");
                }
            }

            private String describe(RankOrder order) {
                return order.action() + " rank " + order.rank() + " version " + order.version() + " step "
                        + order.step();
            }
        }
    }
}
