package firwheel.bench.routing;

import firwheel.routing.RoutingPolicies;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Runs the whole grid and prints it as a table. */
public final class RoutingGrid {
    static final List<Integer> LOAD_PERCENTS = List.of(60, 90);
    static final List<Integer> LAGS_MILLIS = List.of(200, 1_000, 3_000);

    private RoutingGrid() {}

    /** Runs the grid; the first argument, if any, is the seed. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println(
                "| arrivals | load % | lag ms | policy | skew p50 | skew p99 | wait p99 s | prefix hits | refused |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        points(LOAD_PERCENTS, seed).forEach(RoutingGrid::printPoint);
    }

    /** Returns the points of the grid with these loads. */
    static List<RoutingPoint> points(List<Integer> loadPercents, long seed) {
        List<RoutingPoint> points = new ArrayList<>();
        for (ArrivalPattern pattern : ArrivalPattern.values()) {
            for (int loadPercent : loadPercents) {
                LAGS_MILLIS.forEach(lag -> points.add(new RoutingPoint(pattern, loadPercent, lag, seed)));
            }
        }
        return points;
    }

    private static void printPoint(RoutingPoint point) {
        List<String> lines = Arrays.stream(RoutingPolicies.values())
                .parallel()
                .map(policy -> line(point, policy, RoutingSimulation.run(point, policy::create)))
                .toList();
        lines.forEach(System.out::println);
    }

    private static String line(RoutingPoint point, RoutingPolicies policy, RoutingResult result) {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %s | %.3f | %.3f | %.2f | %.3f | %d |",
                point.arrivals().name().toLowerCase(Locale.ROOT),
                point.loadPercent(),
                point.lagMillis(),
                policy.name().toLowerCase(Locale.ROOT),
                result.skewP50(),
                result.skewP99(),
                result.waitP99Seconds(),
                result.prefixHitShare(),
                result.refused());
    }
}
