package firwheel.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Report of a load run. Latencies are measured from the scheduled time of a request, not from when it was sent, so they
 * include delays in the generator.
 *
 * @param offered requests that were scheduled
 * @param shed scheduled requests that were not sent because too many were in flight
 * @param seconds duration of sending requests
 * @param tokens tokens received
 * @param verdicts number of requests by verdict
 * @param firstToken time to the first token of streams
 * @param betweenTokens time between tokens of streams
 * @param whole time to the end of complete responses
 * @param completePerSecond complete responses in each second since the start
 * @param ledger result of the comparison with the ledgers of the stand-in services
 */
record LoadReport(
        long offered,
        long shed,
        double seconds,
        long tokens,
        Map<Verdict, Long> verdicts,
        Percentiles firstToken,
        Percentiles betweenTokens,
        Percentiles whole,
        List<Integer> completePerSecond,
        LedgerCheck.Findings ledger) {

    /** Percentiles of a latency, in milliseconds. */
    record Percentiles(long count, double p50Millis, double p95Millis, double p99Millis, double maxMillis) {
        private static final double MICROS_PER_MILLI = 1_000.0;

        static Percentiles of(Histogram histogram) {
            return new Percentiles(
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                    histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                    histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                    histogram.getMaxValue() / MICROS_PER_MILLI);
        }

        String text() {
            return String.format(
                    Locale.ROOT,
                    "n=%d p50=%.2f ms p95=%.2f ms p99=%.2f ms max=%.2f ms",
                    count,
                    p50Millis,
                    p95Millis,
                    p99Millis,
                    maxMillis);
        }
    }

    static LoadReport of(LoadStatistics statistics, LoadOptions options, LedgerCheck.Findings ledger) {
        Map<Verdict, Long> verdicts = new TreeMap<>();
        for (Verdict verdict : Verdict.values()) {
            verdicts.put(verdict, statistics.count(verdict));
        }
        return new LoadReport(
                statistics.offered(),
                statistics.shedCount(),
                options.duration().toMillis() / 1_000.0,
                statistics.tokens(),
                verdicts,
                Percentiles.of(statistics.timeToFirstToken),
                Percentiles.of(statistics.interTokenLatency),
                Percentiles.of(statistics.endToEndLatency),
                statistics.completePerSecond(),
                ledger);
    }

    /** Returns whether all delivery guarantees to callers were kept. */
    boolean passed() {
        return ledger.passed()
                && verdicts.entrySet().stream().allMatch(entry -> entry.getKey().allowed() || entry.getValue() == 0);
    }

    /** Returns the human-readable report. */
    String text() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT,
                "offered %d (%.1f/s), shed %d, tokens %d (%.0f/s)%n",
                offered,
                offered / seconds,
                shed,
                tokens,
                tokens / seconds));
        verdicts.forEach((verdict, count) -> out.append(verdict.name().toLowerCase(Locale.ROOT))
                .append('=')
                .append(count)
                .append(' '));
        out.append(String.format("%nfirst token    %s%n", firstToken.text()));
        out.append(String.format("between tokens %s%n", betweenTokens.text()));
        out.append(String.format("whole response %s%n", whole.text()));
        out.append(String.format(
                "ledger executed=%d doubled=%d ran-though-not-run=%d missing=%d%n",
                ledger.executed(), ledger.doubled(), ledger.ranThoughNotRun(), ledger.missing()));
        out.append(passed() ? "all delivery guarantees were kept" : "DELIVERY GUARANTEES VIOLATED, see counts above");
        return out.toString();
    }
}
