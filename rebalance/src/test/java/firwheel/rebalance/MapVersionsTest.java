package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MapVersionsTest {
    private static final long LARGEST_EXACT_INTEGER = 1L << 53; // of a double
    /** Six returns of the store from older copies, and two months of 10,000 transactions a second. */
    private static final long LARGE_TERM = 6L * (1L << 36) + 60L * 86_400 * 10_000;

    private final MapVersions versions = new MapVersions();

    private long useAll(long term) {
        versions.startTerm(term);
        long last = 0;
        while (!versions.exhausted()) {
            last = versions.next();
        }
        return last;
    }

    @Nested
    final class Versions {
        @Test
        void areExactAsFloatingPointNumbers() {
            long last = useAll(LARGE_TERM);

            assertThat(last + 1).isLessThan(LARGEST_EXACT_INTEGER);
            assertThat((long) (double) (last + 1)).isEqualTo(last + 1).isNotEqualTo((long) (double) last);
        }

        @Test
        void areHigherThanAllOfTheTermBefore() {
            long last = useAll(LARGE_TERM);
            versions.startTerm(LARGE_TERM + 1);

            assertThat(versions.next()).isGreaterThan(last + 1);
        }
    }
}
