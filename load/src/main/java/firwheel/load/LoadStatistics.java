package firwheel.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counters and latency histograms of a load run. Confined to one event loop. */
final class LoadStatistics {
    private static final long MAX_LATENCY_MICROS = Duration.ofHours(1).toNanos() / 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    final Histogram timeToFirstToken = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    final Histogram interTokenLatency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    final Histogram endToEndLatency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    private final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
    private final List<Integer> completePerSecond = new ArrayList<>();
    private long offered;
    private long shed;
    private long tokens;

    void recordOffered() {
        offered++;
    }

    void recordShed() {
        shed++;
    }

    void recordToken() {
        tokens++;
    }

    void recordVerdict(Verdict verdict, int second) {
        verdicts.merge(verdict, 1L, Long::sum);
        if (verdict == Verdict.COMPLETE) {
            while (completePerSecond.size() <= second) {
                completePerSecond.add(0);
            }
            completePerSecond.set(second, completePerSecond.get(second) + 1);
        }
    }

    static void recordLatency(Histogram histogram, long nanos) {
        histogram.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, nanos / 1_000)));
    }

    long offered() {
        return offered;
    }

    long shedCount() {
        return shed;
    }

    long tokens() {
        return tokens;
    }

    long count(Verdict verdict) {
        return verdicts.getOrDefault(verdict, 0L);
    }

    List<Integer> completePerSecond() {
        return List.copyOf(completePerSecond);
    }
}
