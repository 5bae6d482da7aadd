package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.Priority;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AdmissionControllerTest {
    private final AdmissionFixture fixture = new AdmissionFixture(1, 2);
    private final AdmissionController controller = fixture.controller;

    @Nested
    final class Limits {
        @Test
        void admitsThenQueuesThenRefuses() {
            assertThat(controller.offer(fixture.attempt("a"))).isInstanceOf(AdmissionDecision.Admitted.class);
            assertThat(controller.offer(fixture.attempt("a"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(controller.offer(fixture.attempt("a"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(fixture.codeOf(controller.offer(fixture.attempt("a")))).isEqualTo(ResultCode.SATURATED);
            assertThat(controller.load()).isEqualTo(new AdmissionLoad(1, 2, 300));
        }

        @Test
        void startsNextQueuedAttemptWhenOneEnds() {
            AttemptDescriptor first = fixture.attempt("a");
            AttemptDescriptor second = fixture.attempt("a");
            controller.offer(first);
            controller.offer(second);
            controller.finish(first.id(), null);
            assertThat(fixture.started).containsExactly(second.id());
        }

        @Test
        void limitsTokensInFlight() {
            AdmissionFixture wide = new AdmissionFixture(8, 8);
            AttemptDescriptor large = wide.attempt("a", Priority.NORMAL, 90_000, 60_000);
            wide.controller.offer(large);
            AttemptDescriptor second = wide.attempt("a", Priority.NORMAL, 20_000, 60_000);
            assertThat(wide.controller.offer(second)).isInstanceOf(AdmissionDecision.Queued.class);
            wide.controller.finish(large.id(), null);
            assertThat(wide.started).containsExactly(second.id());
        }

        @Test
        void servesHigherPriorityFirst() {
            AttemptDescriptor running = fixture.attempt("a");
            AttemptDescriptor low = fixture.attempt("a", Priority.LOW, 1, 60_000);
            AttemptDescriptor high = fixture.attempt("a", Priority.HIGH, 1, 60_000);
            controller.offer(running);
            controller.offer(low);
            controller.offer(high);
            controller.finish(running.id(), null);
            assertThat(fixture.started).containsExactly(high.id());
        }

        @Test
        void fullQueueEvictsFromLongestOrganisationQueue() {
            AdmissionFixture queue = new AdmissionFixture(1, 3);
            queue.controller.offer(queue.attempt("large"));
            queue.controller.offer(queue.attempt("large"));
            queue.controller.offer(queue.attempt("large"));
            AttemptDescriptor newest = queue.attempt("large");
            queue.controller.offer(newest);
            assertThat(queue.controller.offer(queue.attempt("small"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(queue.refused).containsEntry(newest.id(), ResultCode.SATURATED);
        }
    }

    @Nested
    final class TimeLimits {
        @Test
        void refusesAttemptPastItsDeadline() {
            assertThat(fixture.codeOf(controller.offer(fixture.attempt("a", Priority.NORMAL, 1, 0))))
                    .isEqualTo(ResultCode.DEADLINE_TOO_SHORT);
        }

        @Test
        void refusesAttemptThatCannotMeetItsDeadline() {
            AdmissionFixture busy = new AdmissionFixture(1, 50);
            for (int i = 0; i < 10; i++) {
                AttemptDescriptor attempt = busy.attempt("a");
                busy.controller.offer(attempt);
                busy.advanceMillis(1000);
                busy.controller.finish(attempt.id(), null);
            }
            busy.controller.offer(busy.attempt("a"));
            assertThat(busy.controller.offer(busy.attempt("a", Priority.NORMAL, 100, 1200)))
                    .isInstanceOf(AdmissionDecision.Refused.class);
            assertThat(busy.controller.offer(busy.attempt("a", Priority.NORMAL, 100, 3000)))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }

        @Test
        void refusesAttemptQueuedForTooLong() {
            AttemptDescriptor waiting = fixture.attempt("a");
            controller.offer(fixture.attempt("a"));
            controller.offer(waiting);
            fixture.advanceMillis(30_000);
            controller.tick();
            assertThat(fixture.refused).containsEntry(waiting.id(), ResultCode.QUEUE_TIMEOUT);
        }

        @Test
        void refusesDelayedFrame() {
            AttemptDescriptor delayed = fixture.attempt("a");
            fixture.advanceMillis(5001);
            assertThat(fixture.codeOf(controller.offer(delayed))).isEqualTo(ResultCode.FENCED);
        }
    }

    @Nested
    final class AtMostOnce {
        @Test
        void dropsDuplicateDispatch() {
            AttemptDescriptor attempt = fixture.attempt("a");
            controller.offer(attempt);
            assertThat(controller.offer(attempt)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.RUNNING));
            controller.finish(attempt.id(), null);
            assertThat(controller.offer(attempt)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.COMPLETED));
        }

        @Test
        void fencedAttemptNeverStarts() {
            AttemptDescriptor attempt = fixture.attempt("a");
            assertThat(controller.fence(attempt.id(), AdmissionFixture.INCARNATION, attempt.admitByMillis()))
                    .isInstanceOf(FenceOutcome.NeverAdmitted.class);
            assertThat(controller.offer(attempt)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.TOMBSTONE));
        }

        @Test
        void fencingRemovesQueuedAttempt() {
            AttemptDescriptor running = fixture.attempt("a");
            AttemptDescriptor waiting = fixture.attempt("a");
            controller.offer(running);
            controller.offer(waiting);
            assertThat(controller.fence(waiting.id(), AdmissionFixture.INCARNATION, waiting.admitByMillis()))
                    .isInstanceOf(FenceOutcome.NeverAdmitted.class);
            controller.finish(running.id(), null);
            assertThat(fixture.started).isEmpty();
        }

        @Test
        void refusedAttemptNeverStarts() {
            AttemptDescriptor running = fixture.attempt("a");
            controller.offer(running);
            controller.offer(fixture.attempt("a"));
            controller.offer(fixture.attempt("a"));
            AttemptDescriptor refused = fixture.attempt("a");
            controller.offer(refused);
            controller.finish(running.id(), null);
            assertThat(controller.offer(refused)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.TOMBSTONE));
        }

        @Test
        void fenceForOtherIncarnationIsUnknown() {
            AttemptDescriptor attempt = fixture.attempt("a");
            assertThat(controller.fence(attempt.id(), 6, attempt.admitByMillis()))
                    .isInstanceOf(FenceOutcome.Unknown.class);
        }
    }

    @Nested
    final class Draining {
        @Test
        void refusesNewAndQueuedAttemptsAndFinishesRunningOnes() {
            AttemptDescriptor running = fixture.attempt("a");
            AttemptDescriptor waiting = fixture.attempt("a");
            controller.offer(running);
            controller.offer(waiting);
            controller.drain();
            assertThat(fixture.refused).containsEntry(waiting.id(), ResultCode.DRAINING);
            assertThat(fixture.codeOf(controller.offer(fixture.attempt("a")))).isEqualTo(ResultCode.DRAINING);
            assertThat(controller.isIdle()).isFalse();
            controller.finish(running.id(), null);
            assertThat(controller.isIdle()).isTrue();
        }

        @Test
        void leavingRowAdmitsNothing() {
            controller.applyRow(RowState.LEAVING, AdmissionFixture.limits(1, 2));
            assertThat(fixture.codeOf(controller.offer(fixture.attempt("a")))).isEqualTo(ResultCode.ROW_NOT_SERVING);
        }
    }

    @Nested
    final class RecordCapacity {
        private final AdmissionFixture small =
                new AdmissionFixture(8, 8, new RecordLimits(2, 1 << 20, Duration.ofMinutes(1)));

        @Test
        void refusesPermanentlyAndFencesAsUnknown() {
            small.controller.offer(small.attempt("a"));
            AttemptDescriptor second = small.attempt("a");
            small.controller.offer(second);
            AttemptDescriptor third = small.attempt("a");
            assertThat(small.codeOf(small.controller.offer(third))).isEqualTo(ResultCode.SATURATED);
            assertThat(small.controller.fence(third.id(), AdmissionFixture.INCARNATION, third.admitByMillis()))
                    .isInstanceOf(FenceOutcome.Unknown.class);
            small.controller.finish(second.id(), null);
            assertThat(small.codeOf(small.controller.offer(third))).isEqualTo(ResultCode.SATURATED);
        }

        @Test
        void evictedAttemptIsUnknownAndNeverRunsAgain() {
            AttemptDescriptor first = small.attempt("a");
            small.controller.offer(first);
            small.controller.finish(first.id(), null);
            small.advanceMillis(5001);
            small.controller.offer(small.attempt("a"));
            small.controller.offer(small.attempt("a"));
            assertThat(small.records.state(first.id())).isNull();
            assertThat(small.codeOf(small.controller.offer(first))).isEqualTo(ResultCode.RECORD_EVICTED);
            assertThat(small.controller.fence(first.id(), AdmissionFixture.INCARNATION, first.admitByMillis()))
                    .isInstanceOf(FenceOutcome.Unknown.class);
        }
    }
}
