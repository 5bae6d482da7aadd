package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import java.time.Duration;

/** What the entry has to do next for a request. */
public sealed interface LifecycleAction {
    /** Nothing; the next event decides. */
    record Await() implements LifecycleAction {}

    /** Send the request to a target not yet tried; {@code continuation} adds the tokens already delivered. */
    record Dispatch(AttemptId attempt, boolean continuation) implements LifecycleAction {}

    /** Ask the agent of the attempt to fence it, over a new link where the old one is lost. */
    record Fence(AttemptId attempt) implements LifecycleAction {}

    /** Ask the agent of the attempt to send its stream from {@code fromSequence} on. */
    record Resume(AttemptId attempt, long fromSequence) implements LifecycleAction {}

    /** Tell the agent of the attempt that nobody waits for it any more. */
    record Cancel(AttemptId attempt) implements LifecycleAction {}

    /** The caller has its whole answer. */
    record Complete() implements LifecycleAction {}

    /** Give the caller this refusal or failure. */
    record Fail(ResultCode code, Duration retryAfter) implements LifecycleAction {}
}
