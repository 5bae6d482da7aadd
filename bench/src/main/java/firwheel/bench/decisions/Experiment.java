package firwheel.bench.decisions;

import firwheel.bench.SvgPlot;
import firwheel.bench.decisions.DayResult.Counts;
import firwheel.bench.feeds.FeedPolicy;
import firwheel.bench.feeds.FeedSimulation;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Runs the days, variants and seeds of an experiment, and renders tables and a plot of the results. */
public final class Experiment {
    private static final List<FeedPolicy> FEED_POLICIES =
            List.of(FeedPolicy.independent(), FeedPolicy.batched(), FeedPolicy.zoneReaders(), FeedPolicy.oneReader());

    private record Played(EmulatedDay day, Variant variant, List<DayResult> results) {
        private String cell(ToDoubleFunction<Counts> figure) {
            DoubleSummaryStatistics statistics = results.stream()
                    .mapToDouble(result -> figure.applyAsDouble(result.total()))
                    .summaryStatistics();
            return String.format(
                    Locale.ROOT,
                    "%.3f (%.3f to %.3f)",
                    statistics.getAverage(),
                    statistics.getMin(),
                    statistics.getMax());
        }

        private List<Double> byInterval(ToDoubleFunction<Counts> figure) {
            int intervals = results.stream()
                    .mapToInt(result -> result.intervals().size())
                    .min()
                    .orElse(0);
            List<Double> means = new ArrayList<>();
            for (int i = 0; i < intervals; i++) {
                int interval = i;
                means.add(results.stream()
                        .mapToDouble(result ->
                                figure.applyAsDouble(result.intervals().get(interval)))
                        .average()
                        .orElse(0));
            }
            return means;
        }
    }

    private final ExperimentFile file;
    private final Consumer<String> progress;
    private final List<Played> played = new ArrayList<>();
    private final List<String> feedRows = new ArrayList<>();

    /** Creates an experiment that reports each run to {@code progress}. */
    public Experiment(ExperimentFile file, Consumer<String> progress) {
        this.file = file;
        this.progress = progress;
    }

    /** Plays everything. */
    public void run() {
        for (EmulatedDay day : file.days()) {
            for (Variant variant : file.variants()) {
                List<DayResult> results = new ArrayList<>();
                for (int seed : file.seeds()) {
                    progress.accept("day " + day.name() + ", variant " + variant.name() + ", seed " + seed);
                    results.add(DayEmulation.run(day, Objects.requireNonNull(file.engine()), variant, seed));
                }
                played.add(new Played(day, variant, results));
            }
        }
        for (ExperimentFile.Feeds feeds : file.feeds()) {
            for (int entries : feeds.entries()) {
                for (FeedSimulation.Fault fault : FeedSimulation.Fault.values()) {
                    progress.accept("feeds of " + entries + " entries, fault " + fault);
                    FEED_POLICIES.forEach(policy -> feedRows.add(feedRow(policy, entries, fault, feeds.rounds())));
                }
            }
        }
    }

    private String feedRow(FeedPolicy policy, int entries, FeedSimulation.Fault fault, int rounds) {
        Histogram delays = new Histogram(3);
        long calls = 0;
        long callsToStart = 0;
        long bytes = 0;
        long late = 0;
        for (int seed : file.seeds()) {
            FeedSimulation.Result result = FeedSimulation.run(policy, entries, fault, rounds, seed);
            delays.add(result.delayMillis());
            calls += result.calls();
            callsToStart += result.callsToStart();
            bytes += result.bytes();
            late += result.late();
        }
        int seeds = file.seeds().size();
        return String.format(
                Locale.ROOT,
                "| %d | %s | %s | %d | %d | %d | %d | %d | %d | %d |",
                entries,
                fault,
                policy.name(),
                callsToStart / seeds,
                calls / seeds,
                bytes / 1_000 / seeds,
                delays.getValueAtPercentile(50),
                delays.getValueAtPercentile(99),
                delays.getMaxValue(),
                late);
    }

    /** Returns the results as Markdown tables: the mean over the seeds, and the lowest and highest. */
    public String tables(boolean byInterval) {
        StringBuilder text = new StringBuilder();
        if (!played.isEmpty()) {
            text.append("| day | variant | worth | in aim | late | refused | refused again | failed |\n")
                    .append("|---|---|---|---|---|---|---|---|\n");
            for (Played run : played) {
                text.append(String.join(
                                " | ",
                                "| " + run.day().name(),
                                run.variant().name(),
                                run.cell(Counts::worth),
                                run.cell(Counts::inAim),
                                run.cell(Counts::late),
                                run.cell(Counts::refused),
                                run.cell(Counts::refusedAgain),
                                run.cell(Counts::failed)))
                        .append(" |\n");
            }
        }
        if (byInterval) {
            played.forEach(run -> appendIntervals(text, run));
        }
        if (!feedRows.isEmpty()) {
            text.append("\n| entries | fault | feeds | calls to start | calls | kB between entries | in force p50 ms |")
                    .append(" p99 ms | most ms | late |\n|---|---|---|---|---|---|---|---|---|---|\n")
                    .append(String.join("\n", feedRows))
                    .append('\n');
        }
        return text.toString();
    }

    private static void appendIntervals(StringBuilder text, Played run) {
        text.append("\n")
                .append(run.day().name())
                .append(", ")
                .append(run.variant().name())
                .append("\n\n| from second | in aim | late | refused | failed |\n|---|---|---|---|---|\n");
        List<Double> inAim = run.byInterval(Counts::inAim);
        List<Double> late = run.byInterval(Counts::late);
        List<Double> refused = run.byInterval(Counts::refused);
        List<Double> failed = run.byInterval(Counts::failed);
        for (int i = 0; i < inAim.size(); i++) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %d | %.2f | %.2f | %.2f | %.2f |%n",
                    i * DayResult.INTERVAL.toSeconds(),
                    inAim.get(i),
                    late.get(i),
                    refused.get(i),
                    failed.get(i)));
        }
    }

    /** Returns a plot of the worth over time, one panel a day, or null if no day was played. */
    public @Nullable String plot() {
        List<SvgPlot.Panel> panels = new ArrayList<>();
        for (EmulatedDay day : file.days()) {
            List<SvgPlot.Series> series = played.stream()
                    .filter(run -> run.day().equals(day))
                    .map(run -> {
                        List<Double> worth = run.byInterval(Counts::worth);
                        List<Double> seconds = new ArrayList<>();
                        worth.forEach(value -> seconds.add((double) seconds.size() * DayResult.INTERVAL.toSeconds()));
                        return new SvgPlot.Series(run.variant().name(), seconds, worth);
                    })
                    .toList();
            panels.add(new SvgPlot.Panel(day.name(), "second", "worth", 1, series));
        }
        return panels.isEmpty() ? null : SvgPlot.render(panels);
    }
}
