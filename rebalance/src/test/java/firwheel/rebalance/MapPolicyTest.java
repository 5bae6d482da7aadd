package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MapPolicyTest {
    private static final int RANKS = 12;
    private static final int SETS = 4;
    private static final int EXPERTS = 72;
    private static final int PLACES = 8;
    private static final int SPARE = 3;
    private static final long CHOICES = 100_000;

    private final MapPolicy policy = new MapPolicy(SETS, EXPERTS, PLACES, SPARE);

    private static int[][][] inTurn() {
        int[][][] placement = new int[SETS][RANKS][EXPERTS / RANKS];
        for (int[][] set : placement) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                set[expert / (EXPERTS / RANKS)][expert % (EXPERTS / RANKS)] = expert;
            }
        }
        return placement;
    }

    /** Demand falls off with the expert's place in a random order, as skewed demand does. */
    private static long[] skewedChoices(long seed) {
        Random random = new Random(seed);
        long[] choices = new long[SETS * EXPERTS];
        for (int i = 0; i < choices.length; i++) {
            choices[i] = (CHOICES / (1 + random.nextInt(EXPERTS)));
        }
        return choices;
    }

    private static double[] usual() {
        double[] slowdowns = new double[RANKS];
        Arrays.fill(slowdowns, 1);
        return slowdowns;
    }

    private int[][][] planned(int[][][] present, double[] slowdowns) {
        int[][][] plan = policy.plan(present, slowdowns);
        return plan == null ? present : plan;
    }

    @Nested
    final class Plans {
        @Test
        void evenSkewedDemandOut() {
            policy.onSelections(skewedChoices(1));

            int[][][] plan = planned(inTurn(), usual());

            assertThat(policy.imbalance(plan, usual())).isLessThan(1.25);
        }

        @Test
        void stayWithinPlacesAndSpareAndKeepEachExpert() {
            policy.onSelections(skewedChoices(2));
            int[][][] present = inTurn();

            int[][][] plan = planned(present, usual());

            for (int set = 0; set < SETS; set++) {
                boolean[] held = new boolean[EXPERTS];
                for (int rank = 0; rank < RANKS; rank++) {
                    int[] before = present[set][rank];
                    int[] after = plan[set][rank];
                    assertThat(after.length).isLessThanOrEqualTo(PLACES);
                    long fresh = Arrays.stream(after)
                            .filter(expert -> Arrays.stream(before).noneMatch(old -> old == expert))
                            .count();
                    assertThat(fresh).isLessThanOrEqualTo(SPARE);
                    Arrays.stream(after).forEach(expert -> held[expert] = true);
                }
                assertThat(held).doesNotContain(false);
            }
        }
    }

    /** All ranks wait for the slowest in each set, so a slow one must hold little that is chosen. */
    @Nested
    final class SlowRank {
        private static final double SLOWDOWN = 5;

        private double[] oneSlow() {
            double[] slowdowns = usual();
            slowdowns[3] = SLOWDOWN;
            return slowdowns;
        }

        @Test
        void isRelievedWithinTwoRounds() {
            policy.onSelections(skewedChoices(3));
            int[][][] even = planned(inTurn(), usual());
            double before = policy.imbalance(even, oneSlow());

            int[][][] relieved = planned(planned(even, oneSlow()), oneSlow());

            assertThat(before).isGreaterThan(SLOWDOWN * 0.8);
            assertThat(policy.imbalance(relieved, oneSlow())).isLessThan(before / 2);
        }

        @Test
        void getsItsPartBackOnceItIsAsFastAsUsual() {
            policy.onSelections(skewedChoices(3));
            int[][][] relieved = planned(planned(inTurn(), oneSlow()), oneSlow());

            int[][][] back = planned(planned(relieved, usual()), usual());

            assertThat(policy.imbalance(back, usual())).isLessThan(1.25);
        }
    }
}
