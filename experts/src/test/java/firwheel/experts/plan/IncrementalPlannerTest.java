package firwheel.experts.plan;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.MapPlan.Verdict;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IncrementalPlannerTest {
    private static final int LAYERS = 2;
    private static final int EXPERTS = 32;
    private static final int RANKS = 8;
    private static final int SLOTS = 5;
    private static final int SEEDS = 300;
    private static final CostModel COSTS = new CostModel(1e-6, 10_000, 44L << 20, 10e9, 1e9, 0.1, 1, 0.05);
    private static final PlanPrices PRICES = new PlanPrices(1, 0.01);
    private static final PlanLimits LIMITS = new PlanLimits(1_000, 32, 1_000, 1.5);
    private final MapPlanner planner = new IncrementalPlanner();

    private static double[][] popularity(Random random) {
        double[][] tokens = new double[LAYERS][EXPERTS];
        for (double[] layer : tokens) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert] = 100 * Math.exp(random.nextGaussian());
            }
        }
        return tokens;
    }

    private static List<RankCondition> serving() {
        return new ArrayList<>(Collections.nCopies(RANKS, RankCondition.serving(SLOTS)));
    }

    private static PlanningInput input(double[][] tokens, List<RankCondition> ranks, PlanPrices prices) {
        ExpertMap map = ExpertMap.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS);
        return new PlanningInput(map, LoadEstimate.of(tokens), ranks, prices, COSTS, LIMITS);
    }

    private static void assertComplete(PlanningInput input, ExpertMap map) {
        for (int layer = 0; layer < LAYERS; layer++) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                assertThat(map.copies(layer, expert)).isPositive();
            }
            for (int rank = 0; rank < RANKS; rank++) {
                int wanted = input.ranks().get(rank).isServing() ? 1 : 0;
                assertThat(map.layer(layer)[rank]).hasSizeLessThanOrEqualTo(SLOTS);
                assertThat(map.loadsSince(input.map(), layer, rank) * (1 - wanted))
                        .isZero();
            }
        }
    }

    /** Whatever the load and the ranks, every expert keeps a copy, and the skew does not grow. */
    @Nested
    class Always {
        @Test
        void keepsACopyOfEveryExpertAndLowersThePredictedSkew() {
            for (int seed = 0; seed < SEEDS; seed++) {
                Random random = new Random(seed);
                double[][] tokens = popularity(random);
                List<RankCondition> ranks = serving();
                if (random.nextBoolean()) {
                    RankCondition.State state =
                            random.nextBoolean() ? RankCondition.State.DEAD : RankCondition.State.LEAVING;
                    ranks.set(random.nextInt(RANKS), new RankCondition(state, 1, SLOTS));
                }
                PlanningInput input = input(tokens, ranks, PRICES);
                MapPlan plan = planner.plan(input);
                assertComplete(input, plan.map());
                assertThat(plan.moves()).hasSizeGreaterThanOrEqualTo(plan.map().loadsSince(input.map()));
                double before = StepTimes.skewSeconds(input.map(), tokens, ranks, COSTS);
                double after = StepTimes.skewSeconds(plan.map(), tokens, ranks, COSTS);
                assertThat(after).as("seed %d", seed).isLessThanOrEqualTo(before);
                assertThat(planner.plan(input)).isEqualTo(plan);
            }
        }

        @Test
        void staysWithinTheBoundOnMoves() {
            PlanningInput all = input(popularity(new Random(1)), serving(), PRICES);
            PlanLimits few = new PlanLimits(3, 3, 1_000, 1.5);
            MapPlan plan =
                    planner.plan(new PlanningInput(all.map(), all.load(), all.ranks(), all.prices(), all.costs(), few));
            assertThat(plan.moves()).hasSizeBetween(1, 3);
        }
    }

    /** The two prices decide. */
    @Nested
    class Worth {
        @Test
        void movesNothingThatCostsMoreThanItGains() {
            MapPlan plan = planner.plan(input(popularity(new Random(2)), serving(), new PlanPrices(1, 1e6)));
            assertThat(plan.moves()).isEmpty();
            assertThat(plan.records()).allMatch(layer -> layer.verdict() == Verdict.INSUFFICIENT_GAIN);
        }

        @Test
        void movesLessWhenMovingIsDearer() {
            double[][] tokens = popularity(new Random(3));
            int cheap = planner.plan(input(tokens, serving(), PRICES)).moves().size();
            int dear = planner.plan(input(tokens, serving(), new PlanPrices(1, 1)))
                    .moves()
                    .size();
            assertThat(dear).isPositive().isLessThan(cheap);
        }

        @Test
        void leavesTheMapAloneOnceItIsGood() {
            PlanningInput first = input(popularity(new Random(4)), serving(), PRICES);
            ExpertMap map = first.map();
            MapPlan plan = planner.plan(first);
            for (int round = 0; round < 10; round++) {
                map = plan.map();
                plan = planner.plan(new PlanningInput(map, first.load(), first.ranks(), PRICES, COSTS, LIMITS));
            }
            assertThat(plan.moves()).isEmpty();
            assertThat(plan.map()).isEqualTo(map);
        }
    }

    /** Ranks that are lost, leave, join or are slow. */
    @Nested
    class Ranks {
        @Test
        void placesTheExpertsOfADeadRankFirstAndWhateverThePrice() {
            List<RankCondition> ranks = serving();
            ranks.set(2, new RankCondition(RankCondition.State.DEAD, 1, SLOTS));
            PlanningInput input = input(popularity(new Random(5)), ranks, new PlanPrices(0, 1e9));
            MapPlan plan = planner.plan(input);
            assertThat(plan.moves()).isNotEmpty().allMatch(ExpertMove::fromStore);
            assertComplete(input, plan.map());
        }

        @Test
        void readsTheExpertsOfALeavingRankFromIt() {
            List<RankCondition> ranks = serving();
            ranks.set(2, new RankCondition(RankCondition.State.LEAVING, 1, SLOTS));
            MapPlan plan = planner.plan(input(popularity(new Random(5)), ranks, new PlanPrices(0, 1e9)));
            assertThat(plan.moves()).isNotEmpty().allMatch(move -> move.sourceRank() == 2);
        }

        @Test
        void plansNothingAndSaysSoWhenTheExpertsNoLongerFit() {
            List<RankCondition> ranks = serving();
            for (int rank = 0; rank < 3; rank++) {
                ranks.set(rank, new RankCondition(RankCondition.State.DEAD, 1, SLOTS));
            }
            MapPlan plan = planner.plan(input(popularity(new Random(6)), ranks, PRICES));
            assertThat(plan.records()).allMatch(layer -> layer.verdict() == Verdict.NO_SLOT);
            assertThat(plan.moves()).isEmpty();
        }

        @Test
        void givesAJoiningRankExperts() {
            int[][][] slots = new int[LAYERS][RANKS + 1][0];
            for (int layer = 0; layer < LAYERS; layer++) {
                System.arraycopy(
                        ExpertMap.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS).layer(layer), 0, slots[layer], 0, RANKS);
            }
            List<RankCondition> ranks = new ArrayList<>(serving());
            ranks.add(RankCondition.serving(SLOTS));
            MapPlan plan = planner.plan(new PlanningInput(
                    ExpertMap.of(EXPERTS, slots),
                    LoadEstimate.of(popularity(new Random(7))),
                    ranks,
                    PRICES,
                    COSTS,
                    LIMITS));
            assertThat(plan.moves()).anyMatch(move -> move.destinationRank() == RANKS);
        }

        @Test
        void relievesASlowRank() {
            List<RankCondition> ranks = serving();
            ranks.set(4, new RankCondition(RankCondition.State.SERVING, 2, SLOTS));
            PlanningInput input = input(popularity(new Random(8)), ranks, PRICES);
            double[][] tokens = popularity(new Random(8));
            double before = StepTimes.skewSeconds(input.map(), tokens, ranks, COSTS);
            ExpertMap after = planner.plan(input).map();
            assertThat(StepTimes.skewSeconds(after, tokens, ranks, COSTS)).isLessThan(0.5 * before);
        }
    }

    /** A controller that may not act, or does not know the load, changes nothing. */
    @Nested
    class Rounds {
        private final PlanningRound round = new PlanningRound(planner, Duration.ofSeconds(30));

        private PlanningRound.Result run(boolean lease, boolean platform, int loadAgeSeconds, boolean changing) {
            return round.run(
                    new PlanningRound.Conditions(lease, platform, Duration.ofSeconds(loadAgeSeconds), changing),
                    input(popularity(new Random(9)), serving(), PRICES));
        }

        @Test
        void plansOnlyWhenAllIsWell() {
            assertThat(run(true, true, 5, false)).isInstanceOf(PlanningRound.Planned.class);
            assertThat(run(false, true, 5, false))
                    .isEqualTo(new PlanningRound.Skipped(PlanningRound.Reason.LEASE_NOT_HELD));
            assertThat(run(true, false, 5, false))
                    .isEqualTo(new PlanningRound.Skipped(PlanningRound.Reason.PLATFORM_DOWN));
            assertThat(run(true, true, 31, false))
                    .isEqualTo(new PlanningRound.Skipped(PlanningRound.Reason.LOAD_TOO_OLD));
            assertThat(run(true, true, 5, true))
                    .isEqualTo(new PlanningRound.Skipped(PlanningRound.Reason.CHANGE_IN_PROGRESS));
        }
    }
}
