package firwheel.bench.routing;

import org.HdrHistogram.Histogram;

/** Collects the measurements of one run; values are ignored until {@link #startRecording} is called after warm-up. */
final class RoutingMetrics {
    private static final double SKEW_SCALE = 10_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Histogram skew = new Histogram(4);
    private final Histogram firstTokenMicros = new Histogram(3);
    private boolean recording;
    private long prefixHits;
    private long prefixLookups;
    private long refused;

    void startRecording() {
        recording = true;
    }

    void onStep(double slowestMicros, double meanMicros) {
        if (recording) {
            skew.recordValue(Math.round((slowestMicros / meanMicros - 1) * SKEW_SCALE));
        }
    }

    void onFirstToken(long nowNanos, long arrivedAtNanos) {
        if (recording) {
            firstTokenMicros.recordValue((nowNanos - arrivedAtNanos) / NANOS_PER_MICRO);
        }
    }

    void onPrefixLookup(boolean hit) {
        if (recording) {
            prefixLookups++;
            prefixHits += hit ? 1 : 0;
        }
    }

    void onRefused() {
        if (recording) {
            refused++;
        }
    }

    RoutingResult result() {
        return new RoutingResult(
                skew.getValueAtPercentile(50) / SKEW_SCALE,
                skew.getValueAtPercentile(99) / SKEW_SCALE,
                firstTokenMicros.getValueAtPercentile(99) / 1e6,
                (double) prefixHits / Math.max(1, prefixLookups),
                refused);
    }
}
