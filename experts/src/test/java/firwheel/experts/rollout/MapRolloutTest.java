package firwheel.experts.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.experts.rollout.MapRollout.Phase;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MapRolloutTest {
    private static final int[][][] MAP = {{{0}, {1}}};
    private static final RolloutLimits LIMITS =
            new RolloutLimits(2, Duration.ZERO, Duration.ofMillis(2), Duration.ofMillis(2), Duration.ofMillis(2));

    @Nested
    final class WithoutFaults {
        @Test
        void switchesAllRanksAtTheSameStep() {
            GroupModel group = new GroupModel(3);
            MapRollout rollout = MapRollout.start(
                    LIMITS, new HoldSteps(), group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            for (int round = 0; round < 20 && !rollout.finished(); round++) {
                rollout.nextOrders(group.views(), 0).forEach(group::execute);
                group.startStep();
                assertThat(group.sameMaps()).isTrue();
            }
            for (int step = 0; step < 3; step++) {
                group.startStep();
            }

            assertThat(rollout.phase()).isEqualTo(Phase.DONE);
            assertThat(group.views()).allMatch(view -> view.mapVersion() == 1);
        }

        /** The group may be blocked meanwhile, and readings of a large one take long. */
        @Test
        void readsAllRanksOnlyOnceAfterTheHoldWasOrdered() {
            GroupModel group = new GroupModel(3);
            MapRollout rollout = MapRollout.start(LIMITS, new HoldSteps(), group.views(), 1, 2, MAP, MAP, 0);
            List<RankView> views = group.views();
            int readingsOfAll = 0;
            while (!rollout.finished()) {
                if (rollout.decidingRank() == RankView.NONE) {
                    views = group.views();
                    readingsOfAll += rollout.phase() == Phase.PREPARING ? 0 : 1;
                } else {
                    views.set(rollout.decidingRank(), group.views().get(rollout.decidingRank()));
                }
                rollout.nextOrders(views, 0).forEach(group::execute);
                if (rollout.phase() == Phase.RELEASING) {
                    group.startStep();
                    group.startStep();
                }
                assertThat(group.sameMaps()).isTrue();
            }

            assertThat(rollout.phase()).isEqualTo(Phase.DONE);
            assertThat(readingsOfAll).isEqualTo(1);
        }

        @Test
        void endsWhenGroupEpochChanges() {
            GroupModel group = new GroupModel(2);
            MapRollout rollout = MapRollout.start(
                    LIMITS, new HoldSteps(), group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            RankView view = group.views().get(0);
            RankView viewInNewEpoch = new RankView(0, 2, true, 0, 0, -1, -1, -1, -1);

            assertThat(rollout.nextOrders(List.of(viewInNewEpoch, view), 0)).isEmpty();
            assertThat(rollout.phase()).isEqualTo(Phase.ABORTED);
        }
    }

    /** Demand shifts within seconds, so a new map is of little use if its switch waits for many long steps. */
    @Nested
    final class Lead {
        private static final int MAX_LEAD_STEPS = 8;
        private static final Duration LEAD_TIME = Duration.ofMillis(150);

        /** Returns by how many steps the hold is ahead after an observation of steps of equal duration. */
        private long orderedLeadSteps(int observedSteps, int stepMillis) {
            RolloutLimits limits = new RolloutLimits(
                    MAX_LEAD_STEPS, LEAD_TIME, Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(1));
            GroupModel group = new GroupModel(2);
            MapRollout rollout = MapRollout.start(limits, new HoldSteps(), group.views(), 1, 1, MAP, MAP, 0);
            rollout.nextOrders(group.views(), 0).forEach(group::execute);
            for (int started = 0; started < observedSteps; started++) {
                group.startStep();
            }
            List<RankOrder> orders = rollout.nextOrders(group.views(), (long) observedSteps * stepMillis);
            assertThat(orders).singleElement().matches(order -> order.action() == RankOrder.Action.HOLD);
            return orders.get(0).step() - group.views().get(0).step();
        }

        @Test
        void lastsTheLeadTimeWithLongSteps() {
            assertThat(orderedLeadSteps(10, 100)).isEqualTo(3);
        }

        @Test
        void hasMoreStepsWhenTheyAreShort() {
            assertThat(orderedLeadSteps(20, 30)).isEqualTo(6);
        }

        /** Steps that are held wait for the exchanges, and all streams pause meanwhile. */
        @Test
        void lastsAsLongAsTheExchangesOfALargeGroup() {
            RolloutLimits limits = LIMITS.withExchangeTime(Duration.ofMillis(60));

            assertThat(limits.leadTime()).isEqualTo(Duration.ofMillis(360));
            assertThat(limits.withExchangeTime(Duration.ofMillis(10))).isEqualTo(limits);
        }

        @Test
        void isLimitedWithVeryShortSteps() {
            assertThat(orderedLeadSteps(100, 5)).isEqualTo(MAX_LEAD_STEPS);
        }

        @Test
        void isShortInAnIdleGroup() {
            assertThat(orderedLeadSteps(0, 100)).isEqualTo(2);
        }
    }

    /**
     * Explores the schedules of two ranks. Each order is executed immediately or later, possibly only during recovery,
     * with at most two delayed orders per schedule; steps start at any time unless held; the controller fails at most
     * once, after any iteration, and another one takes over.
     */
    @Nested
    final class Exploration {
        @Test
        void neverMixesMapsNorStaysHeld() {
            Explorer explorer = new Explorer();
            explorer.run();

            assertThat(explorer.faults).isEmpty();
            assertThat(explorer.states).hasSizeGreaterThan(10_000);
            System.out.println("map rollout: explored states: " + explorer.states.size());
        }

        @Test
        void detectsTakeoverWithoutAbort() {
            Explorer explorer = new Explorer();
            explorer.skipsTakeoverAbort = true;
            explorer.run();

            assertThat(explorer.faults).isNotEmpty();
        }

        @Test
        void detectsIgnoredHolds() {
            Explorer explorer = new Explorer();
            explorer.ignoresHolds = true;
            explorer.run();

            assertThat(explorer.faults).isNotEmpty();
        }
    }

    /**
     * Depth-first search over schedules. Each schedule is replayed from its start, since a rollout cannot be copied.
     */
    private static final class Explorer {
        private static final int MAX_DELAYED = 2;
        private static final int MAX_ROUNDS = 14;

        final Set<String> states = new HashSet<>();
        final List<String> faults = new ArrayList<>();
        boolean ignoresHolds;
        boolean skipsTakeoverAbort;

        void run() {
            List<Integer> choices = new ArrayList<>();
            do {
                Run run = new Run(choices);
                run.execute();
                while (choices.size() > run.choicesUsed) {
                    choices.remove(choices.size() - 1);
                }
            } while (faults.isEmpty() && advanceToNextSchedule(choices));
        }

        private final List<Integer> choiceCounts = new ArrayList<>();

        private boolean advanceToNextSchedule(List<Integer> choices) {
            while (!choices.isEmpty()) {
                int last = choices.size() - 1;
                if (choices.get(last) + 1 < choiceCounts.get(last)) {
                    choices.set(last, choices.get(last) + 1);
                    return true;
                }
                choices.remove(last);
            }
            return false;
        }

        private final class Run {
            private final List<Integer> choices;
            private final GroupModel group = new GroupModel(2);
            private final List<RankOrder> delayedOrders = new ArrayList<>();
            private int choicesUsed;
            private int delayedCount;
            private boolean takenOver;
            private MapRollout rollout;
            private List<RankView> lastViews = group.views();

            Run(List<Integer> choices) {
                this.choices = choices;
                group.setIgnoresHolds(ignoresHolds);
                rollout = MapRollout.start(
                        LIMITS, new HoldSteps(), group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            }

            private int choose(int optionCount) {
                if (choicesUsed == choices.size()) {
                    choices.add(0);
                }
                while (choiceCounts.size() <= choicesUsed) {
                    choiceCounts.add(0);
                }
                choiceCounts.set(choicesUsed, optionCount);
                return choices.get(choicesUsed++);
            }

            void execute() {
                for (int round = 0; round < MAX_ROUNDS && !(rollout.finished() && delayedOrders.isEmpty()); round++) {
                    if (!step(round)) {
                        return;
                    }
                }
                finishWithoutFaults();
            }

            /** Returns false if the state was visited before or violates an invariant. */
            private boolean step(int round) {
                if (!takenOver && round > 0 && choose(2) == 1) {
                    takenOver = true;
                    rollout = skipsTakeoverAbort
                            ? MapRollout.start(LIMITS, new HoldSteps(), group.views(), 1_000, 1, MAP, MAP, round)
                            : MapRollout.takeOver(LIMITS, new HoldSteps(), group.views(), 1_000, MAP, round);
                }
                for (RankOrder order : rollout.nextOrders(readViews(), round)) {
                    sendOrDelay(order);
                }
                if (!delayedOrders.isEmpty() && choose(2) == 1) {
                    group.execute(delayedOrders.remove(0));
                }
                int steps = choose(2);
                for (int step = 0; step < steps; step++) {
                    group.startStep();
                }
                if (!group.sameMaps()) {
                    faults.add("ranks use different maps: " + group.describe());
                    return false;
                }
                return states.add(group.describe() + delayedOrders + rollout + delayedCount + takenOver + round)
                        || !choices.subList(choicesUsed, choices.size()).isEmpty();
            }

            /** Reads only the ranks that the rollout asks for; the views of the others are those of the last reading. */
            private List<RankView> readViews() {
                List<RankView> views = new ArrayList<>(lastViews);
                int decidingRank = rollout.decidingRank();
                if (decidingRank == RankView.NONE) {
                    views = group.views();
                } else {
                    views.set(decidingRank, group.views().get(decidingRank));
                }
                lastViews = views;
                return views;
            }

            private void sendOrDelay(RankOrder order) {
                int delivery = delayedCount < MAX_DELAYED ? choose(2) : 0;
                if (delivery == 0) {
                    group.execute(order);
                } else {
                    delayedCount++;
                    delayedOrders.add(order);
                }
            }

            /** Executes all delayed orders and lets the controller finish without further faults. */
            private void finishWithoutFaults() {
                for (int round = 0; round < 20; round++) {
                    if (rollout.finished() && group.views().stream().anyMatch(RankView::isHolding)) {
                        rollout = MapRollout.takeOver(
                                LIMITS, new HoldSteps(), group.views(), 2_000 + round, MAP, 100L + round);
                    }
                    rollout.nextOrders(readViews(), 100L + round).forEach(group::execute);
                    if (!delayedOrders.isEmpty()) {
                        group.execute(delayedOrders.remove(0));
                    }
                    group.startStep();
                    if (!group.sameMaps()) {
                        faults.add("ranks use different maps after recovery: " + group.describe());
                        return;
                    }
                }
                if (group.isHeld()) {
                    faults.add("group remains held: " + group.describe() + " " + rollout.phase());
                }
            }
        }
    }
}
