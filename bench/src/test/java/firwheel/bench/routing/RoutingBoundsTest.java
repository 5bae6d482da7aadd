package firwheel.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.routing.RoutingPolicies;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds the routing policy in use against its targets at full load. More seeds: {@code -Dfirwheel.seeds=N}. */
final class RoutingBoundsTest {
    private static final double MAX_SHARE_OF_TWO_CHOICES_SKEW = 0.5;
    private static final double MIN_SHARE_OF_AFFINITY_HITS = 0.9;
    private static final int LAG_OF_SKEW_TARGET_MILLIS = 1_000;
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
            assertThat(tokenAware.skewP99()).as("p99 skew against %s", baseline).isLessThan(other.skewP99());
            assertThat(tokenAware.firstTokenP99Seconds())
                    .as("p99 wait against %s", baseline)
                    .isLessThan(other.firstTokenP99Seconds());
        }
        assertThat(tokenAware.prefixHitRatio())
                .isGreaterThanOrEqualTo(MIN_SHARE_OF_AFFINITY_HITS
                        * result(results, RoutingPolicies.PURE_AFFINITY).prefixHitRatio());
        if (point.lagMillis() == LAG_OF_SKEW_TARGET_MILLIS) {
            assertThat(tokenAware.skewP99())
                    .isLessThanOrEqualTo(MAX_SHARE_OF_TWO_CHOICES_SKEW
                            * result(results, RoutingPolicies.TWO_CHOICES).skewP99());
        }
        assertThat(tokenAware.refused()).isZero();
    }

    private static RoutingResult result(Map<RoutingPolicies, RoutingResult> results, RoutingPolicies policy) {
        return results.getOrDefault(policy, new RoutingResult(0, 0, 0, 0, 0));
    }
}
