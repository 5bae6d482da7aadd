package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import java.time.Duration;

/** Action that the entry must take next for a request. */
public sealed interface LifecycleAction {
    /** Wait for the next event. */
    record Await() implements LifecycleAction {}

    /**
     * Send the request to a target not yet tried.
     *
     * @param continuation whether to append the tokens already delivered to the prompt
     */
    record Dispatch(AttemptId attempt, boolean continuation) implements LifecycleAction {}

    /** Ask the agent of the attempt to fence it, over a new link if the old one is lost. */
    record Fence(AttemptId attempt) implements LifecycleAction {}

    /** Ask the agent of the attempt to send its stream again, starting at {@code fromSequence}. */
    record Resume(AttemptId attempt, long fromSequence) implements LifecycleAction {}

    /** Tell the agent of the attempt to cancel it. */
    record Cancel(AttemptId attempt) implements LifecycleAction {}

    /** Complete the request; all chunks of its response have been received. */
    record Complete() implements LifecycleAction {}

    /** Fail the request with this refusal or failure. */
    record Fail(ResultCode code, Duration retryAfter) implements LifecycleAction {}
}
