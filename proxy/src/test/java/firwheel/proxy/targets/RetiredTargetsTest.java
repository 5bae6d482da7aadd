package firwheel.proxy.targets;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetiredTargetsTest {
    private final RetiredTargets retired = new RetiredTargets();

    private static Target target(String id, int port, long startedMillis) {
        return new Target(id, startedMillis, "svc", "10.0.0.1", port, "zone-a", 1, false, null);
    }

    @Test
    void findTheTargetThatRanBeforeAtTheSameAddress() {
        Target earlier = target("i-1", 80, 1);
        retired.add(earlier);

        assertThat(retired.removePredecessor(target("i-2", 81, 2))).isNull();
        assertThat(retired.removePredecessor(target("i-3", 80, 1))).isNull();
        assertThat(retired.removePredecessor(target("i-4", 80, 2))).isEqualTo(earlier);
        assertThat(retired.removePredecessor(target("i-5", 80, 3))).isNull();
    }
}
