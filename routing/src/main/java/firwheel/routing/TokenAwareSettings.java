package firwheel.routing;

import java.time.Duration;

/**
 * Settings of {@link TokenAwarePolicy}.
 *
 * @param affinityRanks ranks that a prefix is placed on
 * @param randomSamples ranks drawn at random beside those
 * @param requestOverheadTokens work, in tokens, that a request is beside its tokens
 * @param loadBound multiple of the mean load beyond which a home loses its advantage
 * @param prefixMissCost load, in parts of the missing tokens, that a rank without the prefix is charged
 * @param stragglerCost load, in parts of the excess over its group's mean, that a rank above it is charged
 * @param reportHalfWeightAge age at which half of a report's difference from the mean counts
 * @param scoreJitter relative difference of scores that is decided at random
 * @param crossZoneCost load, in parts of the mean, that a rank of another zone is charged
 * @param rampUp time that a row takes from joining to its whole weight
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
    /** Settings in use. */
    public static final TokenAwareSettings DEFAULTS = new TokenAwareSettings(
            4, 4, 3_000, 1.05, 40.0, 4.0, Duration.ofSeconds(2), 0.0, 0.25, Duration.ofSeconds(20));

    public TokenAwareSettings {
        if (affinityRanks < 0 || randomSamples < 1 || loadBound < 1) {
            throw new IllegalArgumentException("homes, samples or loadBound out of range");
        }
    }
}
