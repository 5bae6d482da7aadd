package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.List;

/**
 * Input of a planning round.
 *
 * @param map current map
 * @param load estimated load of each expert
 * @param ranks condition of every rank of the map
 * @param prices prices configured for the group
 * @param costs step-time and transfer model
 * @param limits limits of the round
 */
public record PlanningInput(
        ExpertMap map,
        LoadEstimate load,
        List<RankCondition> ranks,
        PlanPrices prices,
        CostModel costs,
        PlanLimits limits) {
    public PlanningInput {
        ranks = List.copyOf(ranks);
        if (ranks.size() != map.ranks()) {
            throw new IllegalArgumentException(
                    "rank conditions do not match the map: got " + ranks.size() + ", expected " + map.ranks());
        }
    }
}
