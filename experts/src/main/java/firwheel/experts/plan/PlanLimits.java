package firwheel.experts.plan;

/**
 * Bounds of one planning round.
 *
 * @param maxMoves experts loaded in one round over all layers, without those of dead and leaving ranks
 * @param maxMovesPerLayer experts of one layer loaded in one round
 * @param maxLoadsPerRank experts of one layer that one rank loads in one round
 * @param minGainRatio least ratio of predicted gain to cost; above 1 so that the map does not swing
 */
public record PlanLimits(int maxMoves, int maxMovesPerLayer, int maxLoadsPerRank, double minGainRatio) {
    public PlanLimits {
        if (maxMoves < 0 || maxMovesPerLayer < 0 || maxLoadsPerRank < 0 || !(minGainRatio >= 1)) {
            throw new IllegalArgumentException("limits of a planning round");
        }
    }
}
