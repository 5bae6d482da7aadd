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

    private static double[][] randomLoad(Random random) {
        double[][] tokens = new double[LAYERS][EXPERTS];
        for (double[] layer : tokens) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert] = 100 * Math.exp(random.nextGaussian());
            }
        }
        return tokens;
    }

    private static List<RankCondition> servingRanks() {
        return new ArrayList<>(Collections.nCopies(RANKS, RankCondition.serving(SLOTS)));
    }

    private static PlanningInput input(double[][] tokens, List<RankCondition> ranks, PlanPrices prices) {
        ExpertMap map = ExpertMap.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS);
        return new PlanningInput(map, LoadEstimate.of(tokens), ranks, prices, COSTS, LIMITS);
    }

    private static void assertEveryExpertPlaced(PlanningInput input, ExpertMap map) {
        for (int layer = 0; layer < LAYERS; layer++) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                assertThat(map.copies(layer, expert)).isPositive();
            }
            for (int rank = 0; rank < RANKS; rank++) {
                int serving = input.ranks().get(rank).isServing() ? 1 : 0;
                assertThat(map.layer(layer)[rank]).hasSizeLessThanOrEqualTo(SLOTS);
                assertThat(map.loadsSince(input.map(), layer, rank) * (1 - serving))
                        .isZero();
            }
        }
    }

    /** Properties of plans that hold for any load and any rank conditions. */
    @Nested
    class Invariants {
        @Test
        void keepsACopyOfEveryExpertAndDoesNotIncreaseSkew() {
            for (int seed = 0; seed < SEEDS; seed++) {
                Random random = new Random(seed);
                double[][] tokens = randomLoad(random);
                List<RankCondition> ranks = servingRanks();
                if (random.nextBoolean()) {
                    RankCondition.State state =
                            random.nextBoolean() ? RankCondition.State.DEAD : RankCondition.State.LEAVING;
                    ranks.set(random.nextInt(RANKS), new RankCondition(state, 1, SLOTS));
                }
                PlanningInput input = input(tokens, ranks, PRICES);
                MapPlan plan = planner.plan(input);
                assertEveryExpertPlaced(input, plan.map());
                assertThat(plan.moves()).hasSizeGreaterThanOrEqualTo(plan.map().loadsSince(input.map()));
                double before = StepTimes.skewSeconds(input.map(), tokens, ranks, COSTS);
                double after = StepTimes.skewSeconds(plan.map(), tokens, ranks, COSTS);
                assertThat(after).as("seed %d", seed).isLessThanOrEqualTo(before);
                assertThat(planner.plan(input)).isEqualTo(plan);
            }
        }

        @Test
        void respectsMoveLimits() {
            PlanningInput all = input(randomLoad(new Random(1)), servingRanks(), PRICES);
            PlanLimits tightLimits = new PlanLimits(3, 3, 1_000, 1.5);
            MapPlan plan = planner.plan(
                    new PlanningInput(all.map(), all.load(), all.ranks(), all.prices(), all.costs(), tightLimits));
            assertThat(plan.moves()).hasSizeBetween(1, 3);
        }
    }

    /** Plans weigh the gain in skew against the price of moves. */
    @Nested
    class Prices {
        @Test
        void plansNoMovesWhenCostExceedsGain() {
            MapPlan plan = planner.plan(input(randomLoad(new Random(2)), servingRanks(), new PlanPrices(1, 1e6)));
            assertThat(plan.moves()).isEmpty();
            assertThat(plan.records()).allMatch(layer -> layer.verdict() == Verdict.INSUFFICIENT_GAIN);
        }

        @Test
        void plansFewerMovesAtHigherMovePrice() {
            double[][] tokens = randomLoad(new Random(3));
            int movesAtLowPrice =
                    planner.plan(input(tokens, servingRanks(), PRICES)).moves().size();
            int movesAtHighPrice = planner.plan(input(tokens, servingRanks(), new PlanPrices(1, 1)))
                    .moves()
                    .size();
            assertThat(movesAtHighPrice).isPositive().isLessThan(movesAtLowPrice);
        }

        @Test
        void convergesToAStableMap() {
            PlanningInput first = input(randomLoad(new Random(4)), servingRanks(), PRICES);
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

    /** Ranks that are dead, leaving, joining or slow. */
    @Nested
    class RankConditions {
        @Test
        void evacuatesDeadRankRegardlessOfPrice() {
            List<RankCondition> ranks = servingRanks();
            ranks.set(2, new RankCondition(RankCondition.State.DEAD, 1, SLOTS));
            PlanningInput input = input(randomLoad(new Random(5)), ranks, new PlanPrices(0, 1e9));
            MapPlan plan = planner.plan(input);
            assertThat(plan.moves()).isNotEmpty().allMatch(ExpertMove::fromStore);
            assertEveryExpertPlaced(input, plan.map());
        }

        @Test
        void copiesExpertsFromLeavingRank() {
            List<RankCondition> ranks = servingRanks();
            ranks.set(2, new RankCondition(RankCondition.State.LEAVING, 1, SLOTS));
            MapPlan plan = planner.plan(input(randomLoad(new Random(5)), ranks, new PlanPrices(0, 1e9)));
            assertThat(plan.moves()).isNotEmpty().allMatch(move -> move.sourceRank() == 2);
        }

        @Test
        void reportsNoSlotWhenExpertsDoNotFit() {
            List<RankCondition> ranks = servingRanks();
            for (int rank = 0; rank < 3; rank++) {
                ranks.set(rank, new RankCondition(RankCondition.State.DEAD, 1, SLOTS));
            }
            MapPlan plan = planner.plan(input(randomLoad(new Random(6)), ranks, PRICES));
            assertThat(plan.records()).allMatch(layer -> layer.verdict() == Verdict.NO_SLOT);
            assertThat(plan.moves()).isEmpty();
        }

        @Test
        void assignsExpertsToJoiningRank() {
            int[][][] slots = new int[LAYERS][RANKS + 1][0];
            for (int layer = 0; layer < LAYERS; layer++) {
                System.arraycopy(
                        ExpertMap.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS).layer(layer), 0, slots[layer], 0, RANKS);
            }
            List<RankCondition> ranks = new ArrayList<>(servingRanks());
            ranks.add(RankCondition.serving(SLOTS));
            MapPlan plan = planner.plan(new PlanningInput(
                    ExpertMap.of(EXPERTS, slots),
                    LoadEstimate.of(randomLoad(new Random(7))),
                    ranks,
                    PRICES,
                    COSTS,
                    LIMITS));
            assertThat(plan.moves()).anyMatch(move -> move.destinationRank() == RANKS);
        }

        @Test
        void halvesSkewOfSlowRank() {
            List<RankCondition> ranks = servingRanks();
            ranks.set(4, new RankCondition(RankCondition.State.SERVING, 2, SLOTS));
            PlanningInput input = input(randomLoad(new Random(8)), ranks, PRICES);
            double[][] tokens = randomLoad(new Random(8));
            double before = StepTimes.skewSeconds(input.map(), tokens, ranks, COSTS);
            ExpertMap after = planner.plan(input).map();
            assertThat(StepTimes.skewSeconds(after, tokens, ranks, COSTS)).isLessThan(0.5 * before);
        }
    }

    /** A controller without a lease, the platform or recent load reports must not change the map. */
    @Nested
    class PlanningRounds {
        private final PlanningRound round = new PlanningRound(planner, Duration.ofSeconds(30));

        private PlanningRound.Result run(
                boolean leaseHeld, boolean platformReachable, int loadAgeSeconds, boolean changeInProgress) {
            return round.run(
                    new PlanningRound.Conditions(
                            leaseHeld, platformReachable, Duration.ofSeconds(loadAgeSeconds), changeInProgress),
                    input(randomLoad(new Random(9)), servingRanks(), PRICES));
        }

        @Test
        void skipsRoundUnlessAllConditionsHold() {
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
