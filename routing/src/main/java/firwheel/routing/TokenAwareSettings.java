package firwheel.routing;

import java.time.Duration;

/**
 * Settings of {@link TokenAwarePolicy}.
 *
 * @param affinityRanks number of ranks that a prefix is assigned to
 * @param randomSamples number of random ranks compared in addition
 * @param requestOverheadTokens fixed cost of a request in addition to its tokens, in tokens
 * @param loadBound multiple of the group's mean load above which an affinity rank is skipped
 * @param prefixMissCost load added to a rank without affinity to the prefix, as a multiple of the prefix tokens
 * @param stragglerCost load added to a rank above its group's mean load, as a multiple of the excess
 * @param reportHalfWeightAge age at which a report's difference from the mean counts half
 * @param scoreJitter maximum relative random increase of a score, which decides between nearly equal scores
 * @param crossZoneCost load added to a rank of another zone, as a multiple of its group's mean load
 * @param rampUp time from the change from joining to serving until a row has its full weight
 */
public record TokenAwareSettings(
        int affinityRanks,
        int randomSamples,
        double requestOverheadTokens,
        double loadBound,
        double prefixMissCost,
        double stragglerCost,
        Duration reportHalfWeightAge,
        double scoreJitter,
        double crossZoneCost,
        Duration rampUp) {
    /** Settings used in production. */
    public static final TokenAwareSettings DEFAULTS = new TokenAwareSettings(
            4, 4, 3_000, 1.05, 40.0, 4.0, Duration.ofSeconds(2), 0.0, 0.25, Duration.ofSeconds(20));

    public TokenAwareSettings {
        if (affinityRanks < 0 || randomSamples < 1 || loadBound < 1) {
            throw new IllegalArgumentException(
                    "affinityRanks must not be negative, randomSamples and loadBound must be at least 1");
        }
    }
}
