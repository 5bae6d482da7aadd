package firwheel.proxy.config;

import java.time.Duration;

/**
 * Performance and capacity parameters of a service's model engine, as published in the configuration.
 *
 * @param slots requests that one target processes concurrently
 * @param kvCacheTokens capacity of one target's KV cache, in tokens
 * @param stepsPerPass steps in one token generation pass
 * @param stepMillis duration of a step without load
 * @param millisPerSequence additional step duration for each sequence being generated
 * @param millisPerThousandContextTokens additional step duration for each 1,000 tokens of context
 * @param promptTokensPerMilli prompt tokens that one target processes per millisecond
 * @param meanOutputTokens mean response length in tokens
 * @param expertLayerGroups number of layer groups that have their own experts; 0 if the engine has none
 * @param expertsPerLayerGroup number of experts in a layer group
 * @param expertSlotsPerRank number of experts of a layer group that one rank can hold
 * @param maxExpertsLoadedPerChange maximum number of experts of a layer group that one map change may load on a rank
 * @param expertLoadTime time that a rank takes to load one expert
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
        int maxExpertsLoadedPerChange,
        Duration expertLoadTime) {}
