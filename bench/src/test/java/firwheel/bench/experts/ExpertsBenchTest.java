package firwheel.bench.experts;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.bench.experts.PlannerSimulation.Scenario;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Checks that the incremental planner meets its targets for skew, bytes moved and total cost. */
class ExpertsBenchTest {
    private static final int LAYERS = 8;
    private static final int ROUNDS = 60;
    private static final int LONG_ROUNDS = 240;
    private static final double MAX_SKEW_RATIO = 1.10;
    private static final double MAX_BYTES_RATIO = 0.25;

    @TestFactory
    List<DynamicTest> meetsTheTargets() {
        return ExpertsBench.scenarios(LAYERS, ROUNDS).stream()
                .map(scenario -> DynamicTest.dynamicTest(
                        scenario.name() + ", " + scenario.pricesName(), () -> assertMeetsTargets(scenario)))
                .toList();
    }

    /** Covers one whole period of the popularity drift. Known to fail; see KNOWN-RED.txt. */
    @Test
    @Tag("known-red")
    void meetsTheTargetsOverALongSeason() {
        assertMeetsTargets(ExpertsBench.scenarios(LAYERS, LONG_ROUNDS).get(0));
    }

    private static void assertMeetsTargets(Scenario scenario) {
        List<PlannerResult> results = ExpertsBench.run(scenario);
        PlannerResult incremental = named(results, ExpertsBench.INCREMENTAL);
        PlannerResult fullRepack = named(results, ExpertsBench.FULL_REPACK);
        assertThat(incremental.movedGib()).isLessThanOrEqualTo(MAX_BYTES_RATIO * fullRepack.movedGib());
        assertThat(results).allMatch(other -> incremental.totalCost() <= other.totalCost());
        if (scenario.prices().equals(ExpertsBench.SKEW_HEAVY)) {
            assertThat(incremental.skewMeanMillis()).isLessThanOrEqualTo(MAX_SKEW_RATIO * fullRepack.skewMeanMillis());
        }
    }

    private static PlannerResult named(List<PlannerResult> results, String planner) {
        return results.stream()
                .filter(result -> result.planner().equals(planner))
                .findFirst()
                .orElseThrow();
    }
}
