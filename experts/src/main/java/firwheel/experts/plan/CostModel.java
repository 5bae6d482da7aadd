package firwheel.experts.plan;

/**
 * Times and transfer costs of a group.
 *
 * @param secondsPerToken time of one token at one expert on a rank of usual speed
 * @param horizonSteps steps for which a plan's gain is counted
 * @param expertBytes weights of one expert of one layer
 * @param peerBytesPerSecond transfer rate from another rank
 * @param storeBytesPerSecond transfer rate from the weight store
 * @param gibPerTransferSecond gibibytes that weigh as much as one second of transfer
 * @param gibPerInterferenceSecond gibibytes that weigh as much as one second by which steps are slowed
 * @param interferenceShare share of a transfer's time by which the group's steps are slowed
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

    /** Returns the time by which steps are slowed while {@code experts} experts are loaded, in seconds. */
    public double interferenceSeconds(int experts, boolean fromStore) {
        return interferenceShare * transferSeconds(experts, fromStore);
    }

    /** Returns the price of loading {@code experts} experts. */
    public double moveCost(int experts, boolean fromStore, PlanPrices prices) {
        double gib = experts * (expertBytes / GIB);
        double transfer = gibPerTransferSecond * transferSeconds(experts, fromStore);
        double disturbance = gibPerInterferenceSecond * interferenceSeconds(experts, fromStore);
        return prices.movePrice() * (gib + transfer + disturbance);
    }

    /** Returns the price of {@code skewSeconds} of skew a step over the horizon. */
    public double skewCost(double skewSeconds, PlanPrices prices) {
        return prices.skewPrice() * skewSeconds * horizonSteps;
    }
}
