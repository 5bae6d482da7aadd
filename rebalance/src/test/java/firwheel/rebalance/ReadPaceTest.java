package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReadPaceTest {
    private final ReadPace pace = new ReadPace();

    @Nested
    final class Intervals {
        @Test
        void growWithTheGroupUpToABound() {
            assertThat(ReadPace.interval(12)).isEqualTo(Duration.ofMillis(125));
            assertThat(ReadPace.interval(40)).isEqualTo(Duration.ofMillis(160));
            assertThat(ReadPace.interval(129)).isEqualTo(Duration.ofMillis(250));
        }
    }

    @Nested
    final class Pauses {
        @Test
        void deductTheReadingAndNeverEnd() {
            assertThat(pace.nextPause(12, Duration.ofMillis(25))).isEqualTo(Duration.ofMillis(100));
            assertThat(pace.nextPause(12, Duration.ofMillis(500))).isEqualTo(Duration.ofMillis(50));
        }

        @Test
        void areShortOnceAfterARollout() {
            pace.onRolloutEnded();

            assertThat(pace.nextPause(12, Duration.ZERO)).isEqualTo(Duration.ofMillis(50));
            assertThat(pace.nextPause(12, Duration.ZERO)).isEqualTo(Duration.ofMillis(125));
        }
    }
}
