package firwheel.bench.experts;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.CostModel;
import firwheel.experts.plan.ExpertMove;
import firwheel.experts.plan.LoadEstimate;
import firwheel.experts.plan.MapPlan;
import firwheel.experts.plan.MapPlanner;
import firwheel.experts.plan.PlanLimits;
import firwheel.experts.plan.PlanPrices;
import firwheel.experts.plan.PlanningInput;
import firwheel.experts.plan.RankCondition;
import firwheel.experts.plan.StepTimes;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Simulates one planner in one scenario and totals the cost of load skew and of expert moves. */
final class PlannerSimulation {
    static final int EXPERTS = 256;
    static final int RANKS = 32;
    static final int SLOTS_PER_RANK = 9;
    static final int STEPS_PER_ROUND = 1_200;
    private static final double TOKENS_PER_STEP = 16_384;
    private static final double NEW_REPORT_WEIGHT = 0.5;
    private static final double REPORT_LOSS_PROBABILITY = 0.1;
    static final CostModel COSTS = new CostModel(4e-7, 10.0 * STEPS_PER_ROUND, 44L << 20, 10e9, 1e9, 0.1, 1.0, 0.05);
    static final PlanLimits LIMITS = new PlanLimits(100_000, 64, 100_000, 1.5);

    private final PlannerCase planner;
    private final Scenario scenario;
    private final double[] skewSeconds;
    private long moveCount;
    private double transferSeconds;
    private double interferenceSeconds;
    private double moveCost;
    private long planNanos;

    private PlannerSimulation(PlannerCase planner, Scenario scenario) {
        this.planner = planner;
        this.scenario = scenario;
        this.skewSeconds = new double[scenario.rounds()];
    }

    /** Runs the simulation; results are deterministic except for the planning time. */
    static PlannerResult run(PlannerCase planner, Scenario scenario) {
        return new PlannerSimulation(planner, scenario).run();
    }

    private PlannerResult run() {
        Random reportLoss = new Random(scenario.seed() + 1);
        PopularityDrift drift = scenario.drift().create(scenario.seed(), scenario.layers(), EXPERTS, TOKENS_PER_STEP);
        List<RankCondition> ranks = Collections.nCopies(RANKS, RankCondition.serving(SLOTS_PER_RANK));
        ExpertMap map = ExpertMap.roundRobin(scenario.layers(), EXPERTS, RANKS, SLOTS_PER_RANK);
        double[][] tokens = drift.tokensPerStep(0);
        LoadEstimate load = LoadEstimate.of(tokens);
        for (int round = 0; round < scenario.rounds(); round++) {
            PlanningInput input = new PlanningInput(map, load, ranks, scenario.prices(), COSTS, LIMITS);
            long start = System.nanoTime();
            MapPlan plan = planner.planner().plan(input);
            planNanos += System.nanoTime() - start;
            addMoveCosts(plan);
            map = plan.map();
            tokens = drift.tokensPerStep(round + 1);
            skewSeconds[round] = StepTimes.skewSeconds(map, tokens, ranks, COSTS);
            load = reportLoss.nextDouble() < REPORT_LOSS_PROBABILITY ? load : load.updated(tokens, NEW_REPORT_WEIGHT);
        }
        return result();
    }

    private void addMoveCosts(MapPlan plan) {
        Map<Integer, Integer> movesByRank = new HashMap<>();
        for (ExpertMove move : plan.moves()) {
            movesByRank.merge(move.destinationRank(), 1, Integer::sum);
        }
        int moves = plan.moves().size();
        int busiestRankMoves =
                movesByRank.values().stream().mapToInt(count -> count).max().orElse(0);
        moveCount += moves;
        transferSeconds += COSTS.transferSeconds(busiestRankMoves, false);
        interferenceSeconds += COSTS.interferenceSeconds(moves, false);
        moveCost += COSTS.moveCost(moves, false, scenario.prices());
    }

    private PlannerResult result() {
        double[] sorted = skewSeconds.clone();
        Arrays.sort(sorted);
        double mean = Arrays.stream(sorted).average().orElse(0);
        PlanPrices prices = scenario.prices();
        double skewCost = prices.skewPrice() * mean * STEPS_PER_ROUND * scenario.rounds();
        double gib = moveCount * (COSTS.expertBytes() / (double) (1L << 30));
        return new PlannerResult(
                planner.name(),
                1e3 * mean,
                1e3 * sorted[sorted.length / 2],
                1e3 * sorted[(int) (0.99 * (sorted.length - 1))],
                gib,
                transferSeconds,
                interferenceSeconds,
                skewCost,
                moveCost,
                planNanos / 1e6 / scenario.rounds(),
                skewSeconds);
    }

    /** A planner and the name under which its results are printed. */
    record PlannerCase(String name, MapPlanner planner) {}

    /** Creates a popularity drift. */
    @FunctionalInterface
    interface DriftFactory {
        PopularityDrift create(long seed, int layers, int experts, double tokensPerStep);
    }

    /** Workload and prices under which planners are compared. */
    record Scenario(
            String name, DriftFactory drift, String pricesName, PlanPrices prices, int layers, int rounds, long seed) {}
}
