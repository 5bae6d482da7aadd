package firwheel.bench.routing;

import firwheel.bench.SvgPlot;
import firwheel.routing.RoutingPolicies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Simulates all combinations of load, arrival pattern, report lag and policy, and prints and plots the results. */
public final class RoutingGrid {
    static final int FULL_LOAD_PERCENT = 90;
    static final List<Integer> LOAD_PERCENTS = List.of(60, FULL_LOAD_PERCENT);
    static final List<Integer> LAGS_MILLIS = List.of(200, 1_000, 3_000);

    private static final double PLOT_MAX_SKEW = 0.6;

    private RoutingGrid() {}

    /** Runs the grid. Optional arguments: the seed, and an SVG file to which the results at full load are plotted. */
    public static void main(String[] args) throws IOException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        List<Row> rows = new ArrayList<>();
        System.out.println(
                "| arrivals | load % | lag ms | policy | skew p50 | skew p99 | wait p99 s | hits | refused |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (RoutingPoint point : points(LOAD_PERCENTS, seed)) {
            for (Map.Entry<RoutingPolicies, RoutingResult> each : run(point).entrySet()) {
                rows.add(new Row(point, each.getKey(), each.getValue()));
                System.out.println(line(rows.get(rows.size() - 1)));
            }
        }
        if (args.length > 1) {
            Files.writeString(Path.of(args[1]), plot(rows));
        }
    }

    /** Returns the grid points for the given loads. */
    static List<RoutingPoint> points(List<Integer> loadPercents, long seed) {
        List<RoutingPoint> points = new ArrayList<>();
        for (ArrivalPattern pattern : ArrivalPattern.values()) {
            for (int loadPercent : loadPercents) {
                LAGS_MILLIS.forEach(lag -> points.add(new RoutingPoint(pattern, loadPercent, lag, seed)));
            }
        }
        return points;
    }

    /** Runs one point with every policy, in parallel; each run has its own virtual time. */
    static Map<RoutingPolicies, RoutingResult> run(RoutingPoint point) {
        return RoutingPolicies.all().parallelStream()
                .collect(Collectors.toMap(
                        policy -> policy,
                        policy -> RoutingSimulation.run(point, policy::create),
                        (first, second) -> first,
                        () -> new EnumMap<>(RoutingPolicies.class)));
    }

    private static String plot(List<Row> rows) {
        List<SvgPlot.Panel> panels = Arrays.stream(ArrivalPattern.values())
                .map(pattern -> new SvgPlot.Panel(
                        name(pattern) + " arrivals, 90% load",
                        "report lag, s",
                        "p99 skew excess",
                        PLOT_MAX_SKEW,
                        RoutingPolicies.all().stream()
                                .map(policy -> series(rows, pattern, policy))
                                .toList()))
                .toList();
        return SvgPlot.render(panels);
    }

    private static SvgPlot.Series series(List<Row> rows, ArrivalPattern pattern, RoutingPolicies policy) {
        List<Row> matchingRows = rows.stream()
                .filter(row -> row.policy() == policy
                        && row.point().arrivals() == pattern
                        && row.point().loadPercent() == FULL_LOAD_PERCENT)
                .toList();
        List<Double> lags =
                matchingRows.stream().map(row -> row.point().lagMillis() / 1e3).toList();
        List<Double> skews =
                matchingRows.stream().map(row -> row.result().skewP99()).toList();
        return new SvgPlot.Series(name(policy), lags, skews);
    }

    private static String line(Row row) {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %s | %.3f | %.3f | %.2f | %.3f | %d |",
                name(row.point().arrivals()),
                row.point().loadPercent(),
                row.point().lagMillis(),
                name(row.policy()),
                row.result().skewP50(),
                row.result().skewP99(),
                row.result().firstTokenP99Seconds(),
                row.result().prefixHitRatio(),
                row.result().refused());
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private record Row(RoutingPoint point, RoutingPolicies policy, RoutingResult result) {}
}
