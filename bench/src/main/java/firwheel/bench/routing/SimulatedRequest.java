package firwheel.bench.routing;

/** One request on its way through a rank. */
final class SimulatedRequest {
    final SimulatedEntry entry;
    final int prefix;
    final int uniqueTokens;
    final int outputTokens;
    final long arrivedAtNanos;
    int remainingPrefillTokens;
    int generatedTokens;

    SimulatedRequest(SimulatedEntry entry, int prefix, int uniqueTokens, int outputTokens, long arrivedAtNanos) {
        this.entry = entry;
        this.prefix = prefix;
        this.uniqueTokens = uniqueTokens;
        this.outputTokens = outputTokens;
        this.arrivedAtNanos = arrivedAtNanos;
    }

    /** Returns prompt tokens plus the mean output, since nobody knows the output beforehand. */
    int estimatedTokens() {
        return EngineModel.PREFIX_TOKENS + uniqueTokens + EngineModel.MEAN_OUTPUT_TOKENS;
    }

    /** Returns the tokens that the request holds in the rank's memory once its prompt is read. */
    int cachedTokens() {
        return EngineModel.PREFIX_TOKENS + uniqueTokens - remainingPrefillTokens + generatedTokens;
    }
}
