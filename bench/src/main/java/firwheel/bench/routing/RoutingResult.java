package firwheel.bench.routing;

/**
 * Results of one simulation run.
 *
 * @param skewP50 median skew of a step: compute time of the slowest rank divided by the mean, minus 1
 * @param skewP99 99th percentile of the skew of a step
 * @param firstTokenP99Seconds 99th percentile of the time to the first token
 * @param prefixHitRatio share of requests whose prefix was cached on the selected rank
 * @param refused number of requests for which the policy selected no rank
 */
public record RoutingResult(
        double skewP50, double skewP99, double firstTokenP99Seconds, double prefixHitRatio, long refused) {}
