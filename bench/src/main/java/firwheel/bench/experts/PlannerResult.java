package firwheel.bench.experts;

/**
 * Figures of one trial.
 *
 * @param skewMeanMillis mean over the rounds of the skew of a step, summed over the layers
 * @param transferSeconds time in which the busiest rank loads, over all rounds
 * @param interferenceSeconds time by which steps are slowed by transfers, over all ranks and rounds
 * @param skewCost price of all skew
 * @param moveCost price of all moves
 * @param planMillis mean time of one planning round
 * @param skewSecondsByRound skew of a step in each round
 */
@SuppressWarnings("ArrayRecordComponent") // read-only series for the plot
record PlannerResult(
        String planner,
        double skewMeanMillis,
        double skewP50Millis,
        double skewP99Millis,
        double movedGib,
        double transferSeconds,
        double interferenceSeconds,
        double skewCost,
        double moveCost,
        double planMillis,
        double[] skewSecondsByRound) {

    double totalCost() {
        return skewCost + moveCost;
    }
}
