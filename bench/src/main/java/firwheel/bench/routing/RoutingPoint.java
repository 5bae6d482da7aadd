package firwheel.bench.routing;

/**
 * One point of the grid.
 *
 * @param arrivals pattern of arrivals
 * @param loadPercent offered load in percent of capacity
 * @param lagMillis age of a load report when it arrives
 * @param seed seed of the arrivals and of the policies
 */
public record RoutingPoint(ArrivalPattern arrivals, int loadPercent, int lagMillis, long seed) {}
