package firwheel.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.routing.RoutingPolicies;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the token-aware policy against its targets at full load. Run more seeds with {@code -Dfirwheel.seeds=N}. */
final class RoutingBoundsTest {
    private static final double MAX_SKEW_RATIO_TO_TWO_CHOICES = 0.5;
    private static final double MIN_HIT_RATIO_TO_PURE_AFFINITY = 0.9;
    private static final int SKEW_TARGET_LAG_MILLIS = 1_000;
    private static final List<RoutingPolicies> BASELINES = List.of(
            RoutingPolicies.ROUND_ROBIN,
            RoutingPolicies.RANDOM,
            RoutingPolicies.TWO_CHOICES,
            RoutingPolicies.LEAST_LOADED);

    static Stream<RoutingPoint> fullLoad() {
        return Stream.iterate(1L, seed -> seed + 1)
                .limit(Long.getLong("firwheel.seeds", 1))
                .flatMap(seed -> RoutingGrid.points(List.of(RoutingGrid.FULL_LOAD_PERCENT), seed).stream());
    }

    @ParameterizedTest
    @MethodSource("fullLoad")
    void meetsItsTargetsAtFullLoad(RoutingPoint point) {
        Map<RoutingPolicies, RoutingResult> results = RoutingGrid.run(point);
        RoutingResult tokenAware = result(results, RoutingPolicies.TOKEN_AWARE);

        for (RoutingPolicies baseline : BASELINES) {
            RoutingResult other = result(results, baseline);
            assertThat(tokenAware.skewP99())
                    .as("p99 skew compared with %s", baseline)
                    .isLessThan(other.skewP99());
            assertThat(tokenAware.firstTokenP99Seconds())
                    .as("p99 time to first token compared with %s", baseline)
                    .isLessThan(other.firstTokenP99Seconds());
        }
        assertThat(tokenAware.prefixHitRatio())
                .isGreaterThanOrEqualTo(MIN_HIT_RATIO_TO_PURE_AFFINITY
                        * result(results, RoutingPolicies.PURE_AFFINITY).prefixHitRatio());
        if (point.lagMillis() == SKEW_TARGET_LAG_MILLIS) {
            assertThat(tokenAware.skewP99())
                    .isLessThanOrEqualTo(MAX_SKEW_RATIO_TO_TWO_CHOICES
                            * result(results, RoutingPolicies.TWO_CHOICES).skewP99());
        }
        assertThat(tokenAware.refused()).isZero();
    }

    private static RoutingResult result(Map<RoutingPolicies, RoutingResult> results, RoutingPolicies policy) {
        return results.getOrDefault(policy, new RoutingResult(0, 0, 0, 0, 0));
    }
}
