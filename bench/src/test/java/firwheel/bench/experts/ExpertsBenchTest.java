package firwheel.bench.experts;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.bench.experts.PlannerTrial.Scenario;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Bounds of the planners' comparison, from the targets of the project. */
class ExpertsBenchTest {
    private static final int LAYERS = 8;
    private static final int ROUNDS = 60;
    private static final double MAX_SKEW_RATIO = 1.10;
    private static final double MAX_BYTES_RATIO = 0.25;

    @TestFactory
    List<DynamicTest> meetsTheTargets() {
        return ExpertsBench.scenarios(LAYERS, ROUNDS).stream()
                .map(scenario ->
                        DynamicTest.dynamicTest(scenario.name() + ", " + scenario.pricesName(), () -> check(scenario)))
                .toList();
    }

    private static void check(Scenario scenario) {
        List<TrialResult> results = ExpertsBench.run(scenario);
        TrialResult ours = named(results, ExpertsBench.OURS);
        TrialResult full = named(results, ExpertsBench.FULL);
        assertThat(ours.movedGib()).isLessThanOrEqualTo(MAX_BYTES_RATIO * full.movedGib());
        assertThat(results).allMatch(other -> ours.totalCost() <= other.totalCost());
        if (scenario.prices().equals(ExpertsBench.SKEW_WEIGHED)) {
            assertThat(ours.skewMeanMillis()).isLessThanOrEqualTo(MAX_SKEW_RATIO * full.skewMeanMillis());
        }
    }

    private static TrialResult named(List<TrialResult> results, String planner) {
        return results.stream()
                .filter(result -> result.planner().equals(planner))
                .findFirst()
                .orElseThrow();
    }
}
