package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AttemptLifecycleTest {
    private static final AttemptId FIRST = new AttemptId(0, 1);
    private static final AttemptId SECOND = new AttemptId(0, 2);
    private static final FenceOutcome UNKNOWN = new FenceOutcome.Unknown(ResultCode.OUTCOME_UNKNOWN);

    private long nextId = 1;

    @Nested
    final class NonIdempotent {
        private final AttemptLifecycle lifecycle = started(false, false);

        @Test
        void retriesAfterFenceShowsItDidNotRun() {
            assertThat(lifecycle.onLinkLost(FIRST, 1)).isEqualTo(new LifecycleAction.Fence(FIRST));
            assertThat(lifecycle.onFenceOutcome(FIRST, new FenceOutcome.NeverAdmitted(), 2))
                    .isEqualTo(new LifecycleAction.Dispatch(SECOND, false));
        }

        @Test
        void failsAsUnknownIfTheAgentReportsAnUnknownOutcome() {
            lifecycle.onLinkLost(FIRST, 1);
            assertThat(codeOf(lifecycle.onFenceOutcome(FIRST, UNKNOWN, 2))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        }

        @Test
        void resumesStreamOfCompletedAttempt() {
            lifecycle.onChunk(FIRST, true);
            lifecycle.onLinkLost(FIRST, 1);
            assertThat(lifecycle.onFenceOutcome(FIRST, new FenceOutcome.Ended(1, 3, null), 2))
                    .isEqualTo(new LifecycleAction.Resume(FIRST, 1));
        }

        @Test
        void failsAsUnknownIfTheDeadlinePassesAfterDispatch() {
            assertThat(codeOf(lifecycle.onDeadline())).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        }
    }

    @Nested
    final class Idempotent {
        @Test
        void continuesOnAnotherTargetIfContinuable() {
            AttemptLifecycle lifecycle = started(true, true);
            lifecycle.onChunk(FIRST, true);
            lifecycle.onLinkLost(FIRST, 1);
            assertThat(lifecycle.onFenceOutcome(FIRST, UNKNOWN, 2))
                    .isEqualTo(new LifecycleAction.Dispatch(SECOND, true));
        }

        @Test
        void failsAsStreamBrokenIfNotContinuable() {
            AttemptLifecycle lifecycle = started(true, false);
            lifecycle.onChunk(FIRST, true);
            lifecycle.onLinkLost(FIRST, 1);
            assertThat(codeOf(lifecycle.onFenceOutcome(FIRST, UNKNOWN, 2))).isEqualTo(ResultCode.STREAM_BROKEN);
        }

        @Test
        void doesNotReportNotRunAfterAnAttemptThatMayHaveRun() {
            AttemptLifecycle lifecycle = started(true, false);
            lifecycle.onFailed(FIRST, ResultCode.ENGINE_ERROR, 1);
            LifecycleAction last = lifecycle.onRefused(SECOND, ResultCode.SATURATED, Duration.ZERO, 100_000);
            assertThat(codeOf(last)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        }
    }

    @Test
    void doesNotDispatchAfterTheDeadline() {
        AttemptLifecycle lifecycle = lifecycle(false, false);
        assertThat(codeOf(lifecycle.start(60_000))).isEqualTo(ResultCode.DEADLINE_TOO_SHORT);
    }

    private AttemptLifecycle started(boolean idempotent, boolean continuable) {
        AttemptLifecycle lifecycle = lifecycle(idempotent, continuable);
        assertThat(lifecycle.start(0)).isEqualTo(new LifecycleAction.Dispatch(FIRST, false));
        return lifecycle;
    }

    private AttemptLifecycle lifecycle(boolean idempotent, boolean continuable) {
        RequestTraits traits = new RequestTraits(idempotent, continuable, 60_000);
        return new AttemptLifecycle(traits, () -> true, () -> new AttemptId(0, nextId++));
    }

    private static ResultCode codeOf(LifecycleAction action) {
        return ((LifecycleAction.Fail) action).code();
    }
}
