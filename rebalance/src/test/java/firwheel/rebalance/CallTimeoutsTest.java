package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CallTimeoutsTest {
    private final CallTimeouts timeouts = new CallTimeouts();

    /** A timeout below the time to call all ranks would make the controller bypass agents that respond. */
    @Nested
    final class WhileBlocked {
        private Duration timeoutAfterAnswersAt(int... elapsedMillis) {
            timeouts.onReadingStarted();
            for (int millis : elapsedMillis) {
                timeouts.onAnswer(Duration.ofMillis(millis));
            }
            return timeouts.whileBlocked();
        }

        @Test
        void allowsForTheTimeThatReadingsTake() {
            assertThat(timeoutAfterAnswersAt(3, 20)).isEqualTo(Duration.ofMillis(80));
            assertThat(timeoutAfterAnswersAt(106, 40)).isEqualTo(Duration.ofMillis(212));
        }

        @Test
        void isLimited() {
            assertThat(timeoutAfterAnswersAt(556)).isEqualTo(Duration.ofMillis(250));
        }

        @Test
        void isShortAgainAfterAQuickReading() {
            timeoutAfterAnswersAt(106);

            assertThat(timeoutAfterAnswersAt(10)).isEqualTo(Duration.ofMillis(80));
        }
    }
}
