package firwheel.experts.plan;

/**
 * Limits of one planning round.
 *
 * @param maxMoves maximum experts loaded over all layers, not counting those of dead and leaving ranks
 * @param maxMovesPerLayer maximum experts loaded per layer
 * @param maxLoadsPerRank maximum experts that one rank loads per layer
 * @param minGainRatio minimum ratio of predicted gain to cost; values above 1 prevent the map from oscillating
 */
public record PlanLimits(int maxMoves, int maxMovesPerLayer, int maxLoadsPerRank, double minGainRatio) {
    public PlanLimits {
        if (maxMoves < 0 || maxMovesPerLayer < 0 || maxLoadsPerRank < 0 || !(minGainRatio >= 1)) {
            throw new IllegalArgumentException(
                    "planning limits must not be negative, and minGainRatio must be at least 1");
        }
    }
}
