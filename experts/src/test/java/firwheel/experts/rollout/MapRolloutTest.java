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
    private static final MapRollout.Limits LIMITS =
            new MapRollout.Limits(2, Duration.ofMillis(2), Duration.ofMillis(2), Duration.ofMillis(2));

    @Nested
    final class WithoutFaults {
        @Test
        void allRanksSwitchInOnePass() {
            GroupModel group = new GroupModel(3);
            MapRollout rollout =
                    MapRollout.start(LIMITS, group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            for (int round = 0; round < 20 && !rollout.finished(); round++) {
                rollout.nextOrders(group.views(), 0).forEach(group::carryOut);
                group.pass();
                assertThat(group.sameMaps()).isTrue();
            }
            for (int pass = 0; pass < 3; pass++) {
                group.pass();
            }

            assertThat(rollout.phase()).isEqualTo(Phase.DONE);
            assertThat(group.views()).allMatch(view -> view.mapVersion() == 1);
        }

        @Test
        void aNewFormationOfTheGroupEndsTheRollout() {
            GroupModel group = new GroupModel(2);
            MapRollout rollout =
                    MapRollout.start(LIMITS, group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            RankView view = group.views().get(0);
            RankView reformed = new RankView(0, 2, true, 0, 0, -1, -1, -1, -1);

            assertThat(rollout.nextOrders(List.of(reformed, view), 0)).isEmpty();
            assertThat(rollout.phase()).isEqualTo(Phase.ABORTED);
        }
    }

    /**
     * Explores what can happen to two ranks: each order is carried out at once, lost, or carried out at any later time,
     * at most two of them in a run; passes begin whenever they are not held; the controller dies after any of its steps,
     * at most once, and another takes over.
     */
    @Nested
    final class Exploration {
        @Test
        void neverLetsRanksComputeUnderDifferentMapsNorStaysHeld() {
            Explorer explorer = new Explorer();
            explorer.run();

            assertThat(explorer.faults).isEmpty();
            assertThat(explorer.states).hasSizeGreaterThan(10_000);
            System.out.println("explored states of a rollout: " + explorer.states.size());
        }

        @Test
        void findsThatAControllerThatTakesOverMustClear() {
            Explorer explorer = new Explorer();
            explorer.clearsNothing = true;
            explorer.run();

            assertThat(explorer.faults).isNotEmpty();
        }

        @Test
        void findsThatAPassMustBeHeld() {
            Explorer explorer = new Explorer();
            explorer.holdsIgnored = true;
            explorer.run();

            assertThat(explorer.faults).isNotEmpty();
        }
    }

    /** Replays the choices of a run from its start, since a rollout has state that is not copied. */
    private static final class Explorer {
        private static final int MAX_DELAYED = 2;
        private static final int MAX_ROUNDS = 14;

        final Set<String> states = new HashSet<>();
        final List<String> faults = new ArrayList<>();
        boolean holdsIgnored;
        boolean clearsNothing;

        void run() {
            List<Integer> choices = new ArrayList<>();
            do {
                Run run = new Run(choices);
                run.play();
                while (choices.size() > run.used) {
                    choices.remove(choices.size() - 1);
                }
            } while (faults.isEmpty() && advance(choices));
        }

        private final List<Integer> widths = new ArrayList<>();

        private boolean advance(List<Integer> choices) {
            while (!choices.isEmpty()) {
                int last = choices.size() - 1;
                if (choices.get(last) + 1 < widths.get(last)) {
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
            private final List<RankOrder> late = new ArrayList<>();
            private int used;
            private int delayed;
            private boolean replaced;
            private MapRollout rollout;

            Run(List<Integer> choices) {
                this.choices = choices;
                group.ignoreHolds(holdsIgnored);
                rollout =
                        MapRollout.start(LIMITS, group.views(), 1, group.views().size() - 1, MAP, MAP, 0);
            }

            private int choose(int width) {
                if (used == choices.size()) {
                    choices.add(0);
                }
                while (widths.size() <= used) {
                    widths.add(0);
                }
                widths.set(used, width);
                return choices.get(used++);
            }

            void play() {
                for (int round = 0; round < MAX_ROUNDS && !(rollout.finished() && late.isEmpty()); round++) {
                    if (!step(round)) {
                        return;
                    }
                }
                settle();
            }

            /** Returns false where the state was seen before or is faulty. */
            private boolean step(int round) {
                if (!replaced && round > 0 && choose(2) == 1) {
                    replaced = true;
                    rollout = clearsNothing
                            ? MapRollout.start(LIMITS, group.views(), 1_000, 1, MAP, MAP, round)
                            : MapRollout.takeOver(LIMITS, group.views(), 1_000, MAP, round);
                }
                for (RankOrder order : rollout.nextOrders(group.views(), round)) {
                    give(order);
                }
                if (!late.isEmpty() && choose(2) == 1) {
                    group.carryOut(late.remove(0));
                }
                int passes = choose(2);
                for (int pass = 0; pass < passes; pass++) {
                    group.pass();
                }
                if (!group.sameMaps()) {
                    faults.add("ranks with different maps: " + group.key());
                    return false;
                }
                return states.add(group.key() + late + rollout + delayed + replaced + round)
                        || !choices.subList(used, choices.size()).isEmpty();
            }

            private void give(RankOrder order) {
                int fate = delayed < MAX_DELAYED ? choose(2) : 0;
                if (fate == 0) {
                    group.carryOut(order);
                } else {
                    delayed++;
                    late.add(order);
                }
            }

            /** Lets everything late happen, and the controller finish without further faults. */
            private void settle() {
                for (int round = 0; round < 20; round++) {
                    if (rollout.finished() && group.views().stream().anyMatch(RankView::isHolding)) {
                        rollout = MapRollout.takeOver(LIMITS, group.views(), 2_000 + round, MAP, 100L + round);
                    }
                    rollout.nextOrders(group.views(), 100L + round).forEach(group::carryOut);
                    if (!late.isEmpty()) {
                        group.carryOut(late.remove(0));
                    }
                    group.pass();
                    if (!group.sameMaps()) {
                        faults.add("ranks with different maps at the end: " + group.key());
                        return;
                    }
                }
                if (group.held()) {
                    faults.add("held for good: " + group.key() + " " + rollout.phase());
                }
            }
        }
    }
}
