package firwheel.proxy.config;

/**
 * Figures of the model engine of a service, as published with the configuration.
 *
 * @param slots requests that one target computes at once
 * @param kvCacheTokens tokens that fit into the memory of one target
 * @param stepsPerPass steps of a pass that generates tokens
 * @param stepMillis time of one step without load
 * @param millisPerSequence additional time of a step for each request that generates
 * @param millisPerThousandContextTokens additional time of a step for each 1,000 tokens of context
 * @param promptTokensPerMilli prompt tokens that one target reads in a millisecond
 * @param meanOutputTokens mean length of an answer
 * @param expertLayerGroups sets of layers with experts of their own; 0 where the engine has none
 * @param expertsPerLayerGroup experts of one set
 * @param expertSlotsPerRank experts that one rank can hold in a set
 * @param maxExpertsLoadedPerChange experts of a set that one change of the map may bring to a rank
 */
public record EngineConfig(
        int slots,
        long kvCacheTokens,
        int stepsPerPass,
        double stepMillis,
        double millisPerSequence,
        double millisPerThousandContextTokens,
        double promptTokensPerMilli,
        double meanOutputTokens,
        int expertLayerGroups,
        int expertsPerLayerGroup,
        int expertSlotsPerRank,
        int maxExpertsLoadedPerChange) {}
