package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.mesh.ReaderRole.Answer;
import firwheel.model.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReaderRoleTest {
    private static final String LOWER = "10.0.0.1";
    private static final String SELF = "10.0.0.2";
    private static final String HIGHER = "10.0.0.3";
    private static final Duration BOUND = Duration.ofSeconds(2);

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final ReaderRole.Limits limits = ReaderRole.Limits.forBound(BOUND);
    private double nextRandom = 1;
    private final ReaderRole role = new ReaderRole(time, () -> nextRandom, SELF, limits);

    @Nested
    final class NewProcess {
        /** If all processes were restarted together, none reads for the others. */
        @Test
        void readsSoonIfNoAnswerIsAnnounced() {
            assertThat(role.reading()).isFalse();
            role.onJoined();
            assertThat(role.untilRead()).isEqualTo(limits.spread());
            role.onAnswer();

            assertThat(role.untilRead()).isEqualTo(limits.spread());
        }

        /** Other processes take an answer for a sign that targets can register again. */
        @Test
        void statesNoAnswerBeforeThereWasOne() {
            time.advance(Duration.ofSeconds(1));
            assertThat(role.answerAge()).isNull();
            role.onAnswer();

            assertThat(role.answerAge()).isZero();
        }

        @Test
        void readsInTimeIfItCannotJoin() {
            assertThat(role.untilRead()).isLessThan(BOUND);
        }

        @Test
        void followsAReaderThatAnnouncesAnAnswer() {
            role.onJoined();
            role.onAnnounced(new Answer(HIGHER, 1, 1));

            assertThat(role.untilRead()).isGreaterThanOrEqualTo(limits.maxAge());
        }
    }

    @Nested
    final class Follower {
        @BeforeEach
        void follow() {
            role.onAnnounced(new Answer(HIGHER, 1, 0));
        }

        @Test
        void readsWellBeforeTheBoundIfNoAnswerIsAnnounced() {
            assertThat(role.reading()).isFalse();
            assertThat(role.untilRead())
                    .isPositive()
                    .isLessThan(BOUND.multipliedBy(4).dividedBy(5));
            time.advance(role.untilRead());

            assertThat(role.untilRead()).isZero();
        }

        @Test
        void waitsLongerAfterEachAnnouncedAnswer() {
            time.advance(limits.maxAge());
            role.onAnnounced(new Answer(HIGHER, 1, 1));

            assertThat(role.untilRead()).isGreaterThanOrEqualTo(limits.maxAge());
        }

        @Test
        void spreadsItsReadOverTime() {
            Duration latest = role.untilRead();
            nextRandom = 0;
            role.onAnnounced(new Answer(HIGHER, 1, 1));

            assertThat(latest.minus(role.untilRead())).isEqualTo(limits.spread());
        }
    }

    @Nested
    final class Announcements {
        /** A process that was suspended may forward an announcement long after the answer. */
        @Test
        void thatArriveAgainOrLateShowNoNewAnswer() {
            role.onAnnounced(new Answer(HIGHER, 1, 7));
            time.advance(limits.maxAge());

            assertThat(role.onAnnounced(new Answer(HIGHER, 1, 7))).isFalse();
            assertThat(role.onAnnounced(new Answer(HIGHER, 1, 6))).isFalse();
            assertThat(role.answerAge()).isEqualTo(limits.maxAge());
        }

        /** The clock of a host may have been set back between two processes. */
        @Test
        void ofAnotherIncarnationCountWhateverItsStartTime() {
            role.onAnnounced(new Answer(HIGHER, 9, 7));

            assertThat(role.onAnnounced(new Answer(HIGHER, 5, 1))).isTrue();
        }
    }

    @Nested
    final class Reader {
        @Test
        void followsAReaderWithALowerAddress() {
            role.startReading();
            role.onAnnounced(new Answer(LOWER, 1, 1));

            assertThat(role.reading()).isFalse();
        }

        @Test
        void staysReaderBesideOneWithAHigherAddress() {
            role.startReading();
            role.onAnnounced(new Answer(HIGHER, 1, 1));

            assertThat(role.reading()).isTrue();
        }

        @Test
        void followsAnyReaderWhileTheStoreDoesNotAnswerIt() {
            role.startReading();
            role.onFailure();
            role.onAnnounced(new Answer(HIGHER, 1, 1));

            assertThat(role.reading()).isFalse();
        }

        @Test
        void pollsOftenEnoughForItsAnswersToReachFollowersInTime() {
            assertThat(limits.pollWait()).isLessThan(limits.maxAge());
        }
    }
}
