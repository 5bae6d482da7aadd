package firwheel.bench.routing;

/** Cost model of one rank: duration of a step and capacity at full load. */
final class EngineModel {
    static final int MAX_RUNNING = 128;
    static final int PREFILL_TOKENS_PER_STEP = 512;
    static final int PREFIX_TOKENS = 1_024;
    static final int CACHED_PREFIXES = 64;

    static final int MEAN_UNIQUE_TOKENS = 256;
    static final int MEAN_OUTPUT_TOKENS = 200;

    /** Longest mean time between two tokens that meets the service level objective. */
    private static final double MAX_STEP_MICROS = 62_000;

    private static final double STEP_MICROS = 10_000;
    private static final double DECODE_MICROS_PER_REQUEST = 300;
    private static final double ATTENTION_MICROS_PER_TOKEN = 0.15;
    private static final double PREFILL_MICROS_PER_TOKEN = 4;

    private EngineModel() {}

    /** Returns the compute time of one rank in a step, in microseconds. */
    static double stepMicros(int decoding, long cachedTokens, int prefillTokens) {
        return STEP_MICROS
                + DECODE_MICROS_PER_REQUEST * decoding
                + ATTENTION_MICROS_PER_TOKEN * cachedTokens
                + PREFILL_MICROS_PER_TOKEN * prefillTokens;
    }

    /**
     * Returns the requests a second that one rank completes if steps take {@code MAX_STEP_MICROS}, load is perfectly
     * balanced and no prefix is cached.
     */
    static double capacityPerRank() {
        double promptTokens = PREFIX_TOKENS + MEAN_UNIQUE_TOKENS;
        double steps = MEAN_OUTPUT_TOKENS + promptTokens / PREFILL_TOKENS_PER_STEP;
        double microsPerRequest = DECODE_MICROS_PER_REQUEST
                + ATTENTION_MICROS_PER_TOKEN * (promptTokens + MEAN_OUTPUT_TOKENS / 2.0)
                + PREFILL_MICROS_PER_TOKEN * promptTokens / steps;
        double batch = (MAX_STEP_MICROS - STEP_MICROS) / microsPerRequest;
        return batch / (steps * MAX_STEP_MICROS / 1e6);
    }
}
