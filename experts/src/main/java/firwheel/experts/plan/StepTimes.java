package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.List;

/** Predicted step times of a group. */
public final class StepTimes {
    private StepTimes() {}

    /**
     * Returns the time of the slowest rank minus the mean, summed over the layers, in seconds per step.
     *
     * @param tokensPerStep tokens per step, indexed by layer and expert
     */
    public static double skewSeconds(
            ExpertMap map, double[][] tokensPerStep, List<RankCondition> ranks, CostModel costs) {
        double sum = 0;
        for (int layer = 0; layer < map.layers(); layer++) {
            LayerPlacement placement =
                    new LayerPlacement(map.layer(layer), tokensPerStep[layer], ranks, costs.secondsPerToken());
            sum += placement.skewSeconds();
        }
        return sum;
    }
}
