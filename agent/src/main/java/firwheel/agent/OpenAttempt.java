package firwheel.agent;

import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import org.jspecify.annotations.Nullable;

/** An attempt that is queued, running, or ended without the entry having acknowledged the complete response. */
final class OpenAttempt {
    private final AttemptMessage.Dispatch dispatch;
    private final Link dispatchLink;
    private @Nullable AttemptStream stream;
    private @Nullable AttemptExecution execution;
    private long detachedAtMillis;

    OpenAttempt(AttemptMessage.Dispatch dispatch, Link dispatchLink) {
        this.dispatch = dispatch;
        this.dispatchLink = dispatchLink;
    }

    AttemptMessage.Dispatch dispatch() {
        return dispatch;
    }

    /** Returns the link over which the attempt was dispatched. */
    Link dispatchLink() {
        return dispatchLink;
    }

    /** Returns the stream, or null while the attempt is queued. */
    @Nullable
    AttemptStream stream() {
        return stream;
    }

    void setRunning(AttemptStream newStream, AttemptExecution newExecution) {
        stream = newStream;
        execution = newExecution;
    }

    /** Returns the execution, or null if the attempt is queued or has ended. */
    @Nullable
    AttemptExecution execution() {
        return execution;
    }

    void clearExecution() {
        execution = null;
    }

    void setDetachedAt(long nowMillis) {
        detachedAtMillis = nowMillis;
    }

    /** Returns whether the attempt has started and has had no link for longer than {@code graceMillis}. */
    boolean isDetachedLongerThan(long graceMillis, long nowMillis) {
        return stream != null && !stream.isAttached() && nowMillis - detachedAtMillis > graceMillis;
    }
}
