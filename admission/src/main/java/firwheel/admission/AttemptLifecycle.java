package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.Outcome;
import firwheel.model.ResultCode;
import java.time.Duration;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Entry-side state machine of one request, from the first dispatch to the final result. Each event handler returns the
 * action to take next. A request is dispatched again only if the previous attempt provably did not run, or if the
 * request is idempotent; both need a retry permit. Not thread-safe.
 */
public final class AttemptLifecycle {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_FENCE_REQUESTS = 8;
    private static final int MAX_FENCE_REQUESTS_IF_RETRYABLE = 2;
    private static final int MAX_RESUMES = 16;
    private static final LifecycleAction AWAIT = new LifecycleAction.Await();

    private final RequestTraits traits;
    private final RetryPermit retryPermit;
    private final Supplier<AttemptId> attemptIds;
    private State state = State.NEW;
    private @Nullable AttemptId current;
    private int attempts;
    private int fenceRequests;
    private int resumes;
    private long receivedChunks;
    private boolean delivered;
    private boolean mayHaveRun;

    public AttemptLifecycle(RequestTraits traits, RetryPermit retryPermit, Supplier<AttemptId> attemptIds) {
        this.traits = traits;
        this.retryPermit = retryPermit;
        this.attemptIds = attemptIds;
    }

    /** Dispatches the first attempt, or fails the request if its deadline has already passed. */
    public LifecycleAction start(long nowMillis) {
        if (state != State.NEW) {
            throw new IllegalStateException("request already started");
        }
        return dispatch(nowMillis, false);
    }

    /** Handles an attempt that could not be written to a link, so that no byte of it has left this process. */
    public LifecycleAction onNotSent(AttemptId attempt, long nowMillis) {
        return isCurrent(attempt)
                ? retryNotRun(ResultCode.TARGET_UNREACHABLE, Duration.ofSeconds(1), nowMillis)
                : AWAIT;
    }

    /** Handles a routing decision that found no target for the attempt. */
    public LifecycleAction onNoTarget(AttemptId attempt, ResultCode code, Duration retryAfter) {
        return isCurrent(attempt) ? fail(code, retryAfter) : AWAIT;
    }

    /** Handles a refusal by the agent. */
    public LifecycleAction onRefused(AttemptId attempt, ResultCode code, Duration retryAfter, long nowMillis) {
        if (!isCurrent(attempt)) {
            return AWAIT;
        }
        return code.outcome() == Outcome.NOT_RUN
                ? retryNotRun(code, retryAfter, nowMillis)
                : handleUnknownOutcome(nowMillis);
    }

    /** Handles the loss of the link after the attempt may have been sent. */
    public LifecycleAction onLinkLost(AttemptId attempt, long nowMillis) {
        return isCurrent(attempt) ? fence(nowMillis) : AWAIT;
    }

    /** Handles a fence request that timed out; it is sent again a limited number of times. */
    public LifecycleAction onFenceTimeout(AttemptId attempt, long nowMillis) {
        return isCurrent(attempt) && state == State.FENCING ? fence(nowMillis) : AWAIT;
    }

    /** Handles the response of the agent to a fence request. */
    public LifecycleAction onFenceOutcome(AttemptId attempt, FenceOutcome outcome, long nowMillis) {
        if (!isCurrent(attempt) || state != State.FENCING) {
            return AWAIT;
        }
        if (outcome instanceof FenceOutcome.NeverAdmitted) {
            return retryNotRun(ResultCode.TARGET_UNREACHABLE, Duration.ofSeconds(1), nowMillis);
        }
        if (outcome instanceof FenceOutcome.Running running) {
            return resume(running.firstHeldSequence(), nowMillis);
        }
        if (outcome instanceof FenceOutcome.Ended ended) {
            return onEnded(attempt, ended, nowMillis);
        }
        return handleUnknownOutcome(nowMillis);
    }

    /**
     * Handles the next chunk of the attempt's stream.
     *
     * @param forwardedToCaller whether the chunk was also forwarded to the caller
     */
    public void onChunk(AttemptId attempt, boolean forwardedToCaller) {
        if (isCurrent(attempt)) {
            receivedChunks++;
            delivered |= forwardedToCaller;
            fenceRequests = 0;
        }
    }

    /** Handles the end frame of the attempt's stream. */
    public LifecycleAction onEnd(AttemptId attempt, StreamIntegrity integrity, long nowMillis) {
        if (!isCurrent(attempt)) {
            return AWAIT;
        }
        return switch (integrity) {
            case FOREIGN -> AWAIT;
            case MISSING_CHUNKS -> resume(0, nowMillis);
            case CORRUPT -> fail(ResultCode.CHECKSUM_MISMATCH, Duration.ZERO);
            case COMPLETE -> {
                state = State.ENDED;
                yield new LifecycleAction.Complete();
            }
        };
    }

    /** Handles an attempt that ran and failed at its target. */
    public LifecycleAction onFailed(AttemptId attempt, ResultCode code, long nowMillis) {
        if (!isCurrent(attempt)) {
            return AWAIT;
        }
        mayHaveRun = true;
        return traits.idempotent() ? retryAfterPossibleRun(code, nowMillis) : fail(code, Duration.ZERO);
    }

    /** Handles a response that exceeds the size this process buffers in memory. */
    public LifecycleAction onResponseTooLarge(AttemptId attempt) {
        return isCurrent(attempt) ? fail(ResultCode.ANSWER_TOO_LARGE, Duration.ZERO) : AWAIT;
    }

    /** Handles the expiry of the caller's deadline. */
    public LifecycleAction onDeadline() {
        return terminate(ResultCode.DEADLINE_TOO_SHORT, ResultCode.DEADLINE_PASSED);
    }

    /** Handles the shutdown of this process while the request is still open. */
    public LifecycleAction onShutdown() {
        return terminate(ResultCode.DRAINING, ResultCode.DRAIN_LIMIT);
    }

    /** Handles the disconnection of the caller. */
    public LifecycleAction onCallerDisconnected() {
        AttemptId attempt = current;
        if (state == State.ENDED || attempt == null) {
            state = State.ENDED;
            return AWAIT;
        }
        state = State.ENDED;
        return new LifecycleAction.Cancel(attempt);
    }

    /** Returns whether the request has its final result. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    private LifecycleAction onEnded(AttemptId attempt, FenceOutcome.Ended ended, long nowMillis) {
        ResultCode failure = ended.failure();
        if (failure == null) {
            return resume(ended.firstHeldSequence(), nowMillis);
        }
        return failure.outcome() == Outcome.NOT_RUN
                ? retryNotRun(failure, Duration.ZERO, nowMillis)
                : onFailed(attempt, failure, nowMillis);
    }

    private LifecycleAction terminate(ResultCode codeBeforeDispatch, ResultCode codeAfterDispatch) {
        return switch (state) {
            case ENDED -> AWAIT;
            case NEW -> fail(codeBeforeDispatch, Duration.ZERO);
            case RUNNING, FENCING -> {
                mayHaveRun = true;
                boolean outcomeReportable = receivedChunks > 0 || traits.idempotent();
                yield fail(outcomeReportable ? codeAfterDispatch : ResultCode.OUTCOME_UNKNOWN, Duration.ZERO);
            }
        };
    }

    private boolean isCurrent(AttemptId attempt) {
        return state != State.ENDED && attempt.equals(current);
    }

    private LifecycleAction dispatch(long nowMillis, boolean continuation) {
        if (nowMillis >= traits.deadlineMillis()) {
            return fail(ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
        }
        attempts++;
        fenceRequests = 0;
        resumes = 0;
        receivedChunks = 0;
        state = State.RUNNING;
        AttemptId attempt = attemptIds.get();
        current = attempt;
        return new LifecycleAction.Dispatch(attempt, continuation);
    }

    private LifecycleAction fence(long nowMillis) {
        AttemptId attempt = current;
        if (attempt == null || nowMillis >= traits.deadlineMillis()) {
            return onDeadline();
        }
        boolean canRetry = traits.idempotent() && (!delivered || traits.continuable());
        if (fenceRequests++ >= (canRetry ? MAX_FENCE_REQUESTS_IF_RETRYABLE : MAX_FENCE_REQUESTS)) {
            return handleUnknownOutcome(nowMillis);
        }
        state = State.FENCING;
        return new LifecycleAction.Fence(attempt);
    }

    private LifecycleAction resume(long firstHeldSequence, long nowMillis) {
        AttemptId attempt = current;
        if (attempt == null || firstHeldSequence > receivedChunks || resumes++ >= MAX_RESUMES) {
            return handleUnknownOutcome(nowMillis);
        }
        state = State.RUNNING;
        return new LifecycleAction.Resume(attempt, receivedChunks);
    }

    private LifecycleAction retryNotRun(ResultCode code, Duration retryAfter, long nowMillis) {
        if (nowMillis >= traits.deadlineMillis()) {
            return fail(ResultCode.DEADLINE_TOO_SHORT, Duration.ZERO);
        }
        if (attempts >= MAX_ATTEMPTS) {
            return fail(code, retryAfter);
        }
        if (!retryPermit.tryAcquire()) {
            return fail(code, retryAfter);
        }
        return dispatch(nowMillis, delivered);
    }

    /** Handles an attempt that may have run but whose response cannot be obtained. */
    private LifecycleAction handleUnknownOutcome(long nowMillis) {
        mayHaveRun = true;
        ResultCode code = receivedChunks > 0 ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN;
        return traits.idempotent() ? retryAfterPossibleRun(code, nowMillis) : fail(code, Duration.ZERO);
    }

    private LifecycleAction retryAfterPossibleRun(ResultCode code, long nowMillis) {
        boolean canDispatchAgain = !delivered || traits.continuable();
        if (!canDispatchAgain
                || attempts >= MAX_ATTEMPTS
                || nowMillis >= traits.deadlineMillis()
                || !retryPermit.tryAcquire()) {
            return fail(code, Duration.ZERO);
        }
        return dispatch(nowMillis, delivered);
    }

    /**
     * Ends the request with a failure. A code that means "not run" is replaced if an earlier attempt may have run, and
     * a code that means "not run" or "unknown" is replaced if part of the response has been delivered.
     */
    private LifecycleAction fail(ResultCode code, Duration retryAfter) {
        state = State.ENDED;
        if (delivered && code.outcome() != Outcome.FAILED) {
            return new LifecycleAction.Fail(ResultCode.STREAM_BROKEN, retryAfter);
        }
        if (mayHaveRun && code.outcome() == Outcome.NOT_RUN) {
            return new LifecycleAction.Fail(ResultCode.OUTCOME_UNKNOWN, retryAfter);
        }
        return new LifecycleAction.Fail(code, retryAfter);
    }

    private enum State {
        NEW,
        RUNNING,
        FENCING,
        ENDED
    }
}
