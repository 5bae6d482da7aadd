package firwheel.bench.experts;

import firwheel.bench.experts.PlannerSimulation.PlannerCase;
import firwheel.bench.experts.PlannerSimulation.Scenario;
import firwheel.experts.plan.IncrementalPlanner;
import firwheel.experts.plan.MapPlanner;
import firwheel.experts.plan.PlanPrices;
import firwheel.experts.plan.RepackPlanner;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Compares the expert map planners and prints a table for each scenario. Optional arguments: number of layers, number
 * of rounds, and a directory to which plots are written.
 */
public final class ExpertsBench {
    static final PlanPrices SKEW_HEAVY = new PlanPrices(4, 0.05);
    static final PlanPrices MOVE_HEAVY = new PlanPrices(1, 0.5);
    static final String INCREMENTAL = "incremental";
    static final String FULL_REPACK = "full repack each round";
    private static final long SEED = 20_26;

    private ExpertsBench() {}

    /** Runs every scenario; the arguments are described on the class. */
    public static void main(String[] args) throws java.io.IOException {
        int layers = args.length > 0 ? Integer.parseInt(args[0]) : 8;
        int rounds = args.length > 1 ? Integer.parseInt(args[1]) : 240;
        for (Scenario scenario : scenarios(layers, rounds)) {
            List<PlannerResult> results = run(scenario);
            System.out.println(table(scenario, results));
            if (args.length > 2) {
                String file = "experts-" + scenario.name() + "-" + scenario.pricesName() + ".svg";
                Files.writeString(Path.of(args[2], file.replace(' ', '-')), SkewPlot.svg(results));
            }
        }
    }

    static List<Scenario> scenarios(int layers, int rounds) {
        return List.of(
                new Scenario("seasonal", PopularityDrift::seasonal, "skew weighed", SKEW_HEAVY, layers, rounds, SEED),
                new Scenario("job runs", PopularityDrift::jobRuns, "skew weighed", SKEW_HEAVY, layers, rounds, SEED),
                new Scenario("seasonal", PopularityDrift::seasonal, "moves weighed", MOVE_HEAVY, layers, rounds, SEED),
                new Scenario("job runs", PopularityDrift::jobRuns, "moves weighed", MOVE_HEAVY, layers, rounds, SEED));
    }

    static List<PlannerResult> run(Scenario scenario) {
        List<PlannerResult> results = new ArrayList<>();
        for (PlannerCase planner : planners()) {
            results.add(PlannerSimulation.run(planner, scenario));
        }
        return results;
    }

    private static List<PlannerCase> planners() {
        return List.of(
                new PlannerCase("never", MapPlanner.noOp()),
                new PlannerCase(FULL_REPACK, RepackPlanner.everyRound()),
                new PlannerCase("full repack above 10%", RepackPlanner.whenImbalanceExceeds(0.10)),
                new PlannerCase("full repack above 25%", RepackPlanner.whenImbalanceExceeds(0.25)),
                new PlannerCase("full repack above 50%", RepackPlanner.whenImbalanceExceeds(0.50)),
                new PlannerCase(INCREMENTAL, new IncrementalPlanner()));
    }

    private static String table(Scenario scenario, List<PlannerResult> results) {
        StringBuilder table = new StringBuilder();
        table.append(String.format(
                Locale.ROOT,
                "### %s, %s (%d layers, %d rounds)%n%n",
                scenario.name(),
                scenario.pricesName(),
                scenario.layers(),
                scenario.rounds()));
        table.append("| planner | skew mean ms | p50 ms | p99 ms | moved GiB | transfer s | disturbed s ")
                .append("| skew cost | move cost | total cost | plan ms |\n")
                .append("|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (PlannerResult result : results) {
            table.append(String.format(
                    Locale.ROOT,
                    "| %s | %.3f | %.3f | %.3f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |%n",
                    result.planner(),
                    result.skewMeanMillis(),
                    result.skewP50Millis(),
                    result.skewP99Millis(),
                    result.movedGib(),
                    result.transferSeconds(),
                    result.interferenceSeconds(),
                    result.skewCost(),
                    result.moveCost(),
                    result.totalCost(),
                    result.planMillis()));
        }
        return table.toString();
    }
}
