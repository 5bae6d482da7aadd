package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.List;

/**
 * What a planning round works on.
 *
 * @param map present map
 * @param load estimated load by layer and expert
 * @param ranks condition of every rank of the map
 * @param prices prices of the group's row
 * @param costs step-time and transfer model
 * @param limits bounds of one round
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
            throw new IllegalArgumentException("conditions of " + ranks.size() + " ranks for " + map.ranks());
        }
    }
}
