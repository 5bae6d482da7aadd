package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class GroupStatesTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final GroupStates states = new GroupStates(time);

    private static GroupMembership registered(long epoch, boolean open) {
        return new GroupMembership("g", epoch, 0, open);
    }

    private static Target witness(long epoch) {
        return new Target("i-0", 1, "svc", "10.0.0.1", 80, "zone-a", 8, false, registered(epoch, true));
    }

    private static GroupStates.Reading reading(long epoch, boolean open, int missingRanks) {
        return new GroupStates.Reading("g", epoch, open, missingRanks);
    }

    @Nested
    final class Epochs {
        /** The registry may tell of a new epoch before the next report. */
        @Test
        void makeALaterRegistrationHoldBeforeAnEarlierReport() {
            states.onReport(reading(1, false, 0));

            assertThat(states.isOpen(registered(1, true))).isFalse();
            assertThat(states.isOpen(registered(2, true))).isTrue();
        }

        @Test
        void makeALaterReportHoldBeforeAnEarlierRegistration() {
            states.onReport(reading(2, true, 0));

            assertThat(states.isOpen(registered(1, false))).isTrue();
        }
    }

    @Nested
    final class LostRanks {
        @Test
        void closeTheGroupUntilItsNextEpoch() {
            states.onReport(reading(1, true, 0));

            states.onRefused(witness(1), "10.0.0.3:80");

            assertThat(states.isOpen(registered(1, true))).isFalse();
            assertThat(states.isOpen(registered(2, true))).isTrue();
        }

        @Test
        void areNotTakenBackByAReportThatWasReadBefore() {
            states.onRefused(witness(1), "10.0.0.3:80");
            time.advance(Duration.ofMillis(250));

            states.onReport(reading(1, true, 1));

            assertThat(states.isOpen(registered(1, true))).isFalse();
        }

        @Test
        void areForgottenOnceReportsSayOtherwise() {
            states.onRefused(witness(1), "10.0.0.3:80");
            time.advance(Duration.ofMillis(1_100));

            states.onReport(reading(1, true, 0));

            assertThat(states.isOpen(registered(1, true))).isTrue();
        }

        @Test
        void areForgottenIfNothingMoreIsHeard() {
            states.onRefused(witness(1), "10.0.0.3:80");
            time.advance(Duration.ofSeconds(3));

            assertThat(states.isOpen(registered(1, true))).isTrue();
        }

        @Test
        void areNotTheWitnessItself() {
            states.onRefused(witness(1), "i-0");
            states.onRefused(witness(1), "10.0.0.1:80");

            assertThat(states.isOpen(registered(1, true))).isTrue();
        }
    }

    @Nested
    final class Forming {
        private static final Duration FORM_TIME = Duration.ofMillis(600);

        @Test
        void lastsAsLongAsTheLatestTimeAndAHalf() {
            states.onReport(reading(1, false, 0));
            time.advance(FORM_TIME);
            states.onReport(reading(2, true, 0));
            states.onReport(reading(2, false, 0));

            assertThat(states.timeToOpen(registered(2, false))).isEqualTo(Duration.ofMillis(900 + 500));
            time.advance(Duration.ofMillis(1_401));
            states.onReport(reading(2, false, 0));
            assertThat(states.timeToOpen(registered(2, false))).isNull();
        }

        @Test
        void hasNotBegunWhileARankIsMissing() {
            states.onReport(reading(1, false, 1));

            assertThat(states.timeToOpen(registered(1, false))).isNull();
        }

        @Test
        void endsWhenARankIsMissingAgainOrReportsStop() {
            states.onReport(reading(1, false, 0));
            assertThat(states.timeToOpen(registered(1, false))).isNotNull();

            states.onReport(reading(1, false, 1));
            assertThat(states.timeToOpen(registered(1, false))).isNull();

            states.onReport(reading(1, false, 0));
            time.advance(Duration.ofSeconds(2));
            assertThat(states.timeToOpen(registered(1, false))).isNull();
        }
    }
}
