package firwheel.bench.experts;

/**
 * Results of one planner in one scenario.
 *
 * @param skewMeanMillis mean skew of a step over all rounds; the skew of a step is summed over its layers
 * @param transferSeconds total over all rounds of the transfer time of the rank with the most moves
 * @param interferenceSeconds total delay of steps caused by transfers, over all ranks and rounds
 * @param skewCost total cost of skew
 * @param moveCost total cost of moves
 * @param planMillis mean planning time of a round
 * @param skewSecondsByRound skew of a step in each round
 */
@SuppressWarnings("ArrayRecordComponent") // not modified after construction
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
