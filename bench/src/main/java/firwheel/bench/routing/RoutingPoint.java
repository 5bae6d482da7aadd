package firwheel.bench.routing;

/**
 * Parameters of one simulation run.
 *
 * @param arrivals arrival pattern
 * @param loadPercent offered load as a percentage of capacity
 * @param lagMillis delay of load reports from ranks to entries
 * @param seed random seed of arrivals and policies
 */
public record RoutingPoint(ArrivalPattern arrivals, int loadPercent, int lagMillis, long seed) {}
