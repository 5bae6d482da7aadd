package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MapPolicyTest {
    private static final int RANKS = 12;
    private static final int LAYERS = 4;
    private static final int EXPERTS = 72;
    private static final int SLOTS_PER_RANK = 8;
    private static final Duration EXPERT_LOAD_TIME = Duration.ofMillis(35);
    private static final int SPARE_SLOTS = 3;
    private static final long MAX_SELECTIONS = 100_000;
    private static final Duration READ_INTERVAL = Duration.ofMillis(250);

    private final MapPolicy policy = new MapPolicy(LAYERS, EXPERTS, SLOTS_PER_RANK, SPARE_SLOTS, EXPERT_LOAD_TIME);

    private static int[][][] contiguousPlacement() {
        int[][][] placement = new int[LAYERS][RANKS][EXPERTS / RANKS];
        for (int[][] layer : placement) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert / (EXPERTS / RANKS)][expert % (EXPERTS / RANKS)] = expert;
            }
        }
        return placement;
    }

    /** Returns counts inversely proportional to a random popularity rank of each expert, as in skewed load. */
    private static long[] skewedSelections(long seed) {
        Random random = new Random(seed);
        long[] selections = new long[LAYERS * EXPERTS];
        for (int i = 0; i < selections.length; i++) {
            selections[i] = (MAX_SELECTIONS / (1 + random.nextInt(EXPERTS)));
        }
        return selections;
    }

    private static double[] nominalSpeed() {
        double[] slowdowns = new double[RANKS];
        Arrays.fill(slowdowns, 1);
        return slowdowns;
    }

    private int[][][] planOrCurrent(int[][][] current, double[] slowdowns) {
        int[][][] plan = policy.plan(current, slowdowns);
        return plan == null ? current : plan;
    }

    @Nested
    final class Plans {
        @Test
        void balanceSkewedLoad() {
            policy.onSelections(skewedSelections(1), READ_INTERVAL);

            int[][][] plan = planOrCurrent(contiguousPlacement(), nominalSpeed());

            assertThat(policy.imbalance(plan, nominalSpeed())).isLessThan(1.25);
        }

        @Test
        void respectSlotLimitsAndKeepEveryExpert() {
            policy.onSelections(skewedSelections(2), READ_INTERVAL);
            int[][][] current = contiguousPlacement();

            int[][][] plan = planOrCurrent(current, nominalSpeed());

            for (int layer = 0; layer < LAYERS; layer++) {
                boolean[] held = new boolean[EXPERTS];
                for (int rank = 0; rank < RANKS; rank++) {
                    int[] before = current[layer][rank];
                    int[] after = plan[layer][rank];
                    assertThat(after.length).isLessThanOrEqualTo(SLOTS_PER_RANK);
                    long loaded = Arrays.stream(after)
                            .filter(expert -> Arrays.stream(before).noneMatch(old -> old == expert))
                            .count();
                    assertThat(loaded).isLessThanOrEqualTo(SPARE_SLOTS);
                    Arrays.stream(after).forEach(expert -> held[expert] = true);
                }
                assertThat(held).doesNotContain(false);
            }
        }
    }

    /** Loading takes so long that the demand has shifted again before a full change of the map is in force. */
    @Nested
    final class SlowLoads {
        private static final Duration LOAD_TIME = Duration.ofMillis(98);

        @Test
        void areWeighedAgainstTheGain() {
            double weighed = new Season(policyWithLoadTime(LOAD_TIME), LOAD_TIME).meanImbalance();
            double ignored = new Season(policyWithLoadTime(Duration.ZERO), LOAD_TIME).meanImbalance();

            System.out.printf("slow loads: mean imbalance %.3f if weighed, %.3f if ignored%n", weighed, ignored);
            assertThat(weighed).isLessThan(ignored);
        }
    }

    private static MapPolicy policyWithLoadTime(Duration expertLoadTime) {
        return new MapPolicy(LAYERS, EXPERTS, SLOTS_PER_RANK, SPARE_SLOTS, expertLoadTime);
    }

    /** Demand that shifts every three seconds, and a group whose ranks load experts one after another. */
    private static final class Season {
        private static final int SHIFTS = 20;
        private static final int READINGS_PER_SHIFT = 12;
        private static final Duration SWITCH_TIME = Duration.ofMillis(250);
        private static final double LOADING_SLOWDOWN = 1.15;

        private final MapPolicy policy;
        private final Duration loadTime;
        private int[][][] placement = contiguousPlacement();
        private int[][][] rolledOut = placement;
        private Duration remaining = Duration.ZERO;

        Season(MapPolicy policy, Duration loadTime) {
            this.policy = policy;
            this.loadTime = loadTime;
        }

        double meanImbalance() {
            double sum = 0;
            for (int shift = 0; shift < SHIFTS; shift++) {
                long[] demand = skewedSelections(shift);
                MapPolicy actual = policyWithLoadTime(Duration.ZERO);
                actual.onSelections(demand, READ_INTERVAL);
                for (int reading = 0; reading < READINGS_PER_SHIFT; reading++) {
                    boolean loading = remaining.compareTo(SWITCH_TIME) > 0;
                    sum += actual.imbalance(placement, nominalSpeed()) * (loading ? LOADING_SLOWDOWN : 1);
                    policy.onSelections(demand, READ_INTERVAL);
                    advance();
                }
            }
            return sum / (SHIFTS * READINGS_PER_SHIFT);
        }

        /** Continues the rollout, or starts one if the policy plans a better map. */
        private void advance() {
            if (!remaining.isZero()) {
                Duration left = remaining.minus(READ_INTERVAL);
                remaining = left.isNegative() ? Duration.ZERO : left;
                placement = remaining.isZero() ? rolledOut : placement;
                return;
            }
            int[][][] planned = policy.plan(placement, nominalSpeed());
            if (planned != null) {
                rolledOut = planned;
                remaining = SWITCH_TIME.plus(loadTime.multipliedBy(mostLoads(planned)));
            }
        }

        private int mostLoads(int[][][] planned) {
            int most = 0;
            for (int rank = 0; rank < RANKS; rank++) {
                int loads = 0;
                for (int layer = 0; layer < LAYERS; layer++) {
                    Set<Integer> loaded = asSet(planned[layer][rank]);
                    loaded.removeAll(asSet(placement[layer][rank]));
                    loads += loaded.size();
                }
                most = Math.max(most, loads);
            }
            return most;
        }

        private static Set<Integer> asSet(int[] experts) {
            return Arrays.stream(experts).boxed().collect(Collectors.toCollection(TreeSet::new));
        }
    }

    /** While a map is rolled out no selections are read, so those of the whole rollout arrive together after it. */
    @Nested
    final class ShiftDuringRollout {
        @Test
        void dominatesTheEstimateAtOnce() {
            policy.onSelections(skewedSelections(1), READ_INTERVAL);
            policy.onSelections(skewedSelections(2), Duration.ofMillis(1_300));
            int[][][] plan = planOrCurrent(contiguousPlacement(), nominalSpeed());

            MapPolicy afterShift = new MapPolicy(LAYERS, EXPERTS, SLOTS_PER_RANK, SPARE_SLOTS, EXPERT_LOAD_TIME);
            afterShift.onSelections(skewedSelections(2), READ_INTERVAL);

            assertThat(afterShift.imbalance(plan, nominalSpeed())).isLessThan(1.3);
        }
    }

    /** The reading in which demand shifts covers old and new demand; the next one only the new. */
    @Nested
    final class Shift {
        @Test
        void isFollowedByAGoodMapOnceAReadingCoversOnlyNewDemand() {
            long[] before = skewedSelections(1);
            long[] after = skewedSelections(2);
            for (int i = 0; i < 4; i++) {
                policy.onSelections(before, READ_INTERVAL);
            }
            long[] mixed = new long[before.length];
            for (int i = 0; i < mixed.length; i++) {
                mixed[i] = (before[i] + after[i]) / 2;
            }
            policy.onSelections(mixed, READ_INTERVAL);
            policy.onSelections(after, READ_INTERVAL);

            int[][][] plan = planOrCurrent(contiguousPlacement(), nominalSpeed());

            MapPolicy newDemand = new MapPolicy(LAYERS, EXPERTS, SLOTS_PER_RANK, SPARE_SLOTS, EXPERT_LOAD_TIME);
            newDemand.onSelections(after, READ_INTERVAL);
            assertThat(newDemand.imbalance(plan, nominalSpeed())).isLessThan(1.25);
        }
    }

    /** All ranks wait for the slowest one in each layer, so a slow rank must get little load. */
    @Nested
    final class SlowRank {
        private static final double SLOWDOWN = 5;

        private double[] oneSlowRank() {
            double[] slowdowns = nominalSpeed();
            slowdowns[3] = SLOWDOWN;
            return slowdowns;
        }

        @Test
        void isUnloadedWithinTwoRounds() {
            policy.onSelections(skewedSelections(3), READ_INTERVAL);
            int[][][] balanced = planOrCurrent(contiguousPlacement(), nominalSpeed());
            double before = policy.imbalance(balanced, oneSlowRank());

            int[][][] unloaded = planOrCurrent(planOrCurrent(balanced, oneSlowRank()), oneSlowRank());

            assertThat(before).isGreaterThan(SLOWDOWN * 0.8);
            assertThat(policy.imbalance(unloaded, oneSlowRank())).isLessThan(before / 2);
        }

        @Test
        void regainsLoadOnceItIsNominal() {
            policy.onSelections(skewedSelections(3), READ_INTERVAL);
            int[][][] unloaded = planOrCurrent(planOrCurrent(contiguousPlacement(), oneSlowRank()), oneSlowRank());

            int[][][] back = planOrCurrent(planOrCurrent(unloaded, nominalSpeed()), nominalSpeed());

            assertThat(policy.imbalance(back, nominalSpeed())).isLessThan(1.25);
        }
    }
}
