package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.Priority;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AdmissionGateTest {
    private final GateFixture fixture = new GateFixture(1, 2);
    private final AdmissionController gate = fixture.gate;

    @Nested
    final class Limits {
        @Test
        void admitsThenQueuesThenRefuses() {
            assertThat(gate.offer(fixture.ticket("a"))).isInstanceOf(AdmissionDecision.Admitted.class);
            assertThat(gate.offer(fixture.ticket("a"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(gate.offer(fixture.ticket("a"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(fixture.codeOf(gate.offer(fixture.ticket("a")))).isEqualTo(ResultCode.SATURATED);
            assertThat(gate.load()).isEqualTo(new AdmissionLoad(1, 2, 300));
        }

        @Test
        void startsTheNextWhenOneEnds() {
            AttemptDescriptor first = fixture.ticket("a");
            AttemptDescriptor second = fixture.ticket("a");
            gate.offer(first);
            gate.offer(second);
            gate.finish(first.id(), null);
            assertThat(fixture.started).containsExactly(second.id());
        }

        @Test
        void holdsTokensInFlight() {
            GateFixture wide = new GateFixture(8, 8);
            AttemptDescriptor large = wide.ticket("a", Priority.NORMAL, 90_000, 60_000);
            wide.gate.offer(large);
            AttemptDescriptor second = wide.ticket("a", Priority.NORMAL, 20_000, 60_000);
            assertThat(wide.gate.offer(second)).isInstanceOf(AdmissionDecision.Queued.class);
            wide.gate.finish(large.id(), null);
            assertThat(wide.started).containsExactly(second.id());
        }

        @Test
        void servesHigherPriorityFirst() {
            AttemptDescriptor running = fixture.ticket("a");
            AttemptDescriptor low = fixture.ticket("a", Priority.LOW, 1, 60_000);
            AttemptDescriptor high = fixture.ticket("a", Priority.HIGH, 1, 60_000);
            gate.offer(running);
            gate.offer(low);
            gate.offer(high);
            gate.finish(running.id(), null);
            assertThat(fixture.started).containsExactly(high.id());
        }

        @Test
        void fullQueueTakesFromTheLongestShare() {
            GateFixture queue = new GateFixture(1, 3);
            queue.gate.offer(queue.ticket("large"));
            queue.gate.offer(queue.ticket("large"));
            queue.gate.offer(queue.ticket("large"));
            AttemptDescriptor newest = queue.ticket("large");
            queue.gate.offer(newest);
            assertThat(queue.gate.offer(queue.ticket("small"))).isInstanceOf(AdmissionDecision.Queued.class);
            assertThat(queue.refused).containsEntry(newest.id(), ResultCode.SATURATED);
        }
    }

    @Nested
    final class TimeBounds {
        @Test
        void refusesWhatHasNoTimeLeft() {
            assertThat(fixture.codeOf(gate.offer(fixture.ticket("a", Priority.NORMAL, 1, 0))))
                    .isEqualTo(ResultCode.DEADLINE_TOO_SHORT);
        }

        @Test
        void refusesEarlyWhatCannotMeetItsDeadline() {
            GateFixture busy = new GateFixture(1, 50);
            for (int i = 0; i < 10; i++) {
                AttemptDescriptor ticket = busy.ticket("a");
                busy.gate.offer(ticket);
                busy.advanceMillis(1000);
                busy.gate.finish(ticket.id(), null);
            }
            busy.gate.offer(busy.ticket("a"));
            assertThat(busy.gate.offer(busy.ticket("a", Priority.NORMAL, 100, 1200)))
                    .isInstanceOf(AdmissionDecision.Refused.class);
            assertThat(busy.gate.offer(busy.ticket("a", Priority.NORMAL, 100, 3000)))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }

        @Test
        void answersWhatWaitedTooLongAtOnce() {
            AttemptDescriptor waiting = fixture.ticket("a");
            gate.offer(fixture.ticket("a"));
            gate.offer(waiting);
            fixture.advanceMillis(30_000);
            gate.tick();
            assertThat(fixture.refused).containsEntry(waiting.id(), ResultCode.QUEUE_TIMEOUT);
        }

        @Test
        void refusesAFrameThatWasHeldUp() {
            AttemptDescriptor held = fixture.ticket("a");
            fixture.advanceMillis(5001);
            assertThat(fixture.codeOf(gate.offer(held))).isEqualTo(ResultCode.FENCED);
        }
    }

    @Nested
    final class AtMostOnce {
        @Test
        void dropsADoubledDispatch() {
            AttemptDescriptor ticket = fixture.ticket("a");
            gate.offer(ticket);
            assertThat(gate.offer(ticket)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.RUNNING));
            gate.finish(ticket.id(), null);
            assertThat(gate.offer(ticket)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.COMPLETED));
        }

        @Test
        void aFencedAttemptNeverStarts() {
            AttemptDescriptor ticket = fixture.ticket("a");
            assertThat(gate.fence(ticket.id(), GateFixture.INCARNATION, ticket.admitByMillis()))
                    .isInstanceOf(FenceOutcome.NeverAdmitted.class);
            assertThat(gate.offer(ticket)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.TOMBSTONE));
        }

        @Test
        void fencingTakesAWaitingAttemptFromTheQueue() {
            AttemptDescriptor running = fixture.ticket("a");
            AttemptDescriptor waiting = fixture.ticket("a");
            gate.offer(running);
            gate.offer(waiting);
            assertThat(gate.fence(waiting.id(), GateFixture.INCARNATION, waiting.admitByMillis()))
                    .isInstanceOf(FenceOutcome.NeverAdmitted.class);
            gate.finish(running.id(), null);
            assertThat(fixture.started).isEmpty();
        }

        @Test
        void aRefusedAttemptNeverStartsLater() {
            AttemptDescriptor running = fixture.ticket("a");
            gate.offer(running);
            gate.offer(fixture.ticket("a"));
            gate.offer(fixture.ticket("a"));
            AttemptDescriptor refused = fixture.ticket("a");
            gate.offer(refused);
            gate.finish(running.id(), null);
            assertThat(gate.offer(refused)).isEqualTo(new AdmissionDecision.Duplicate(AttemptState.TOMBSTONE));
        }

        @Test
        void anotherIncarnationKnowsNothing() {
            AttemptDescriptor ticket = fixture.ticket("a");
            assertThat(gate.fence(ticket.id(), 6, ticket.admitByMillis())).isInstanceOf(FenceOutcome.Unknown.class);
        }
    }

    @Nested
    final class Draining {
        @Test
        void refusesNewAndWaitingWorkAndFinishesWhatRuns() {
            AttemptDescriptor running = fixture.ticket("a");
            AttemptDescriptor waiting = fixture.ticket("a");
            gate.offer(running);
            gate.offer(waiting);
            gate.drain();
            assertThat(fixture.refused).containsEntry(waiting.id(), ResultCode.DRAINING);
            assertThat(fixture.codeOf(gate.offer(fixture.ticket("a")))).isEqualTo(ResultCode.DRAINING);
            assertThat(gate.isIdle()).isFalse();
            gate.finish(running.id(), null);
            assertThat(gate.isIdle()).isTrue();
        }

        @Test
        void aLeavingRowAdmitsNothing() {
            gate.applyRow(RowState.LEAVING, GateFixture.limits(1, 2));
            assertThat(fixture.codeOf(gate.offer(fixture.ticket("a")))).isEqualTo(ResultCode.ROW_NOT_SERVING);
        }
    }

    @Nested
    final class FullMemory {
        private final GateFixture small = new GateFixture(8, 8, new RecordLimits(2, 1 << 20, Duration.ofMinutes(1)));

        @Test
        void refusesForGoodAndFencesAsUnknown() {
            small.gate.offer(small.ticket("a"));
            AttemptDescriptor second = small.ticket("a");
            small.gate.offer(second);
            AttemptDescriptor third = small.ticket("a");
            assertThat(small.codeOf(small.gate.offer(third))).isEqualTo(ResultCode.SATURATED);
            assertThat(small.gate.fence(third.id(), GateFixture.INCARNATION, third.admitByMillis()))
                    .isInstanceOf(FenceOutcome.Unknown.class);
            small.gate.finish(second.id(), null);
            assertThat(small.codeOf(small.gate.offer(third))).isEqualTo(ResultCode.SATURATED);
        }

        @Test
        void anEvictedAttemptIsUnknownAndNeverRunsAgain() {
            AttemptDescriptor first = small.ticket("a");
            small.gate.offer(first);
            small.gate.finish(first.id(), null);
            small.advanceMillis(5001);
            small.gate.offer(small.ticket("a"));
            small.gate.offer(small.ticket("a"));
            assertThat(small.records.state(first.id())).isNull();
            assertThat(small.codeOf(small.gate.offer(first))).isEqualTo(ResultCode.RECORD_EVICTED);
            assertThat(small.gate.fence(first.id(), GateFixture.INCARNATION, first.admitByMillis()))
                    .isInstanceOf(FenceOutcome.Unknown.class);
        }
    }
}
