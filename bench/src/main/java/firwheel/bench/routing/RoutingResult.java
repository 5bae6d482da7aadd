package firwheel.bench.routing;

/**
 * Figures of one run.
 *
 * @param skewP50 median over steps of (slowest rank over mean) - 1
 * @param skewP99 99th percentile of the same
 * @param firstTokenP99Seconds 99th percentile of the time to the first token
 * @param prefixHitRatio share of requests that found their prefix in the rank's cache
 * @param refused requests refused by the policy
 */
public record RoutingResult(
        double skewP50, double skewP99, double firstTokenP99Seconds, double prefixHitRatio, long refused) {}
