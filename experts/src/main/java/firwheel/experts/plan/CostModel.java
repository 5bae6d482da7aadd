package firwheel.experts.plan;

/**
 * Model of the step time and the expert transfer cost of a rank group.
 *
 * @param secondsPerToken time one expert takes for one token on a rank of nominal speed
 * @param horizonSteps number of steps over which the gain of a plan is accumulated
 * @param expertBytes size of the weights of one expert of one layer
 * @param peerBytesPerSecond transfer rate from another rank
 * @param storeBytesPerSecond transfer rate from the weight store
 * @param gibPerTransferSecond gibibytes that cost as much as one second of transfer
 * @param gibPerInterferenceSecond gibibytes that cost as much as one second of added step time
 * @param interferenceShare added step time of the group as a fraction of the transfer time
 */
public record CostModel(
        double secondsPerToken,
        double horizonSteps,
        long expertBytes,
        double peerBytesPerSecond,
        double storeBytesPerSecond,
        double gibPerTransferSecond,
        double gibPerInterferenceSecond,
        double interferenceShare) {
    private static final double GIB = 1L << 30;

    /** Returns the time to load {@code experts} experts, in seconds. */
    public double transferSeconds(int experts, boolean fromStore) {
        return experts * (expertBytes / (fromStore ? storeBytesPerSecond : peerBytesPerSecond));
    }

    /** Returns the step time added by loading {@code experts} experts, in seconds. */
    public double interferenceSeconds(int experts, boolean fromStore) {
        return interferenceShare * transferSeconds(experts, fromStore);
    }

    /** Returns the price of loading {@code experts} experts. */
    public double moveCost(int experts, boolean fromStore, PlanPrices prices) {
        double gib = experts * (expertBytes / GIB);
        double transfer = gibPerTransferSecond * transferSeconds(experts, fromStore);
        double interference = gibPerInterferenceSecond * interferenceSeconds(experts, fromStore);
        return prices.movePrice() * (gib + transfer + interference);
    }

    /** Returns the price of {@code skewSeconds} of skew per step over the horizon. */
    public double skewCost(double skewSeconds, PlanPrices prices) {
        return prices.skewPrice() * skewSeconds * horizonSteps;
    }
}
