package firwheel.bench.routing;

/** Cost model of one rank: what a step costs and how many requests it serves at full load. */
final class EngineModel {
    static final int MAX_RUNNING = 128;
    static final int PREFILL_TOKENS_PER_STEP = 512;
    static final int PREFIX_TOKENS = 1_024;
    static final int CACHED_PREFIXES = 64;

    static final int MEAN_UNIQUE_TOKENS = 256;
    static final int MEAN_OUTPUT_TOKENS = 200;

    /** Longest mean time between two tokens that is still within what callers are promised. */
    private static final double MAX_STEP_MICROS = 62_000;

    private static final double STEP_MICROS = 10_000;
    private static final double DECODE_MICROS_PER_REQUEST = 300;
    private static final double ATTENTION_MICROS_PER_TOKEN = 0.15;
    private static final double PREFILL_MICROS_PER_TOKEN = 4;

    private EngineModel() {}

    /** Returns the computing time of one rank in a step. */
    static double stepMicros(int decoding, long cachedTokens, int prefillTokens) {
        return STEP_MICROS
                + DECODE_MICROS_PER_REQUEST * decoding
                + ATTENTION_MICROS_PER_TOKEN * cachedTokens
                + PREFILL_MICROS_PER_TOKEN * prefillTokens;
    }

    /** Returns the requests a second that a rank in perfect balance with a cold cache completes at the longest step. */
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
