package firwheel.agent;

import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import org.jspecify.annotations.Nullable;

/** An attempt that waits, runs, or has ended and is not yet known to have arrived whole. */
final class OpenAttempt {
    private final AttemptMessage.Dispatch dispatch;
    private final Link firstLink;
    private @Nullable AttemptStream stream;
    private @Nullable AttemptExecution execution;
    private long detachedAtMillis;

    OpenAttempt(AttemptMessage.Dispatch dispatch, Link firstLink) {
        this.dispatch = dispatch;
        this.firstLink = firstLink;
    }

    AttemptMessage.Dispatch dispatch() {
        return dispatch;
    }

    /** Returns the link over which the attempt came. */
    Link firstLink() {
        return firstLink;
    }

    /** Returns the stream, or null while the attempt waits. */
    @Nullable
    AttemptStream stream() {
        return stream;
    }

    void begin(AttemptStream newStream, AttemptExecution newExecution) {
        stream = newStream;
        execution = newExecution;
    }

    /** Returns the execution, or null where the attempt waits or has ended. */
    @Nullable
    AttemptExecution execution() {
        return execution;
    }

    void ended() {
        execution = null;
    }

    void detachedAt(long nowMillis) {
        detachedAtMillis = nowMillis;
    }

    /** Returns whether the attempt has had no link for longer than {@code graceMillis}. */
    boolean detachedLongerThan(long graceMillis, long nowMillis) {
        return stream != null && !stream.attached() && nowMillis - detachedAtMillis > graceMillis;
    }
}
