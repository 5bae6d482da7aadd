package firwheel.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AnnouncedReuseTest {
    private final List<AnnouncedReuse.Turn> trace = AnnouncedReuse.trace(1);

    @ParameterizedTest
    @ValueSource(ints = {50, 100, 200, 400})
    void exceedsTheHitRatioOfLruAtTheSameCapacity(int entries) {
        assertThat(AnnouncedReuse.hitRatio(trace, entries, true))
                .isGreaterThan(AnnouncedReuse.hitRatio(trace, entries, false));
    }
}
