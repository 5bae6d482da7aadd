package firwheel.bench.routing;

import org.HdrHistogram.Histogram;

/** Gathers what one run measures, once the warm-up is over. */
final class RoutingMeasures {
    private static final double SKEW_SCALE = 10_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Histogram skew = new Histogram(4);
    private final Histogram waitMicros = new Histogram(3);
    private boolean on;
    private long prefixHits;
    private long prefixes;
    private long refused;

    void start() {
        on = true;
    }

    void onStep(double slowestMicros, double meanMicros) {
        if (on) {
            skew.recordValue(Math.round((slowestMicros / meanMicros - 1) * SKEW_SCALE));
        }
    }

    void onFirstToken(long nowNanos, long arrivedAtNanos) {
        if (on) {
            waitMicros.recordValue((nowNanos - arrivedAtNanos) / NANOS_PER_MICRO);
        }
    }

    void onPrefix(boolean hit) {
        if (on) {
            prefixes++;
            prefixHits += hit ? 1 : 0;
        }
    }

    void onRefused() {
        if (on) {
            refused++;
        }
    }

    RoutingResult result() {
        return new RoutingResult(
                skew.getValueAtPercentile(50) / SKEW_SCALE,
                skew.getValueAtPercentile(99) / SKEW_SCALE,
                waitMicros.getValueAtPercentile(99) / 1e6,
                (double) prefixHits / Math.max(1, prefixes),
                refused);
    }
}
