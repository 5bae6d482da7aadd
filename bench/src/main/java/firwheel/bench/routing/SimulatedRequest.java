package firwheel.bench.routing;

/** A request and its progress on a rank. */
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

    /** Returns the prompt tokens plus the mean output length, because the actual length is unknown at dispatch. */
    int estimatedTokens() {
        return EngineModel.PREFIX_TOKENS + uniqueTokens + EngineModel.MEAN_OUTPUT_TOKENS;
    }

    /** Returns the tokens that the request occupies in the key-value cache. */
    int cachedTokens() {
        return EngineModel.PREFIX_TOKENS + uniqueTokens - remainingPrefillTokens + generatedTokens;
    }
}
