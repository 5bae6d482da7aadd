package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and logs what targets write in place of one response. */
final class MalformedResponses {
    private static final Logger logger = LoggerFactory.getLogger(MalformedResponses.class);

    private final LogLimiter limiter;
    private long count;

    MalformedResponses(TimeSource time) {
        limiter = new LogLimiter(time);
    }

    /** Returns how many were recorded. */
    long count() {
        return count;
    }

    /**
     * Records one, and logs it unless one of the same target has just been logged.
     *
     * @param attemptId attempt whose response was expected, or null if it has no identifier
     * @param reused whether the connection has carried earlier requests
     * @param status status in the head, or 0 if no head was read
     * @param violation rule that the bytes break
     */
    void onMalformedResponse(Target target, @Nullable String attemptId, boolean reused, int status, String violation) {
        count++;
        limiter.tryLog(target)
                .ifPresent(leftOut -> Events.log(
                        logger,
                        EventCode.MALFORMED_RESPONSE,
                        "target",
                        target.instanceId(),
                        "service",
                        target.service(),
                        "request",
                        attemptId,
                        "reused",
                        reused,
                        "status",
                        status,
                        "violation",
                        violation,
                        "notLogged",
                        leftOut));
    }
}
