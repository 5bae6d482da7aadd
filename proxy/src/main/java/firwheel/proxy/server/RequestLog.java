package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.ResultCode;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.targets.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the events of one request, each with its attempt id, number of sends, configuration version and elapsed time.
 */
final class RequestLog {
    private static final Logger logger = LoggerFactory.getLogger(RequestLog.class);

    private static final int MAX_LOGGED_PARTS = 16;

    private final @Nullable String attemptId;
    private final LongSupplier sends;
    private final LongSupplier configVersion;
    private final LongSupplier elapsedMillis;

    RequestLog(@Nullable String attemptId, LongSupplier sends, LongSupplier configVersion, LongSupplier elapsedMillis) {
        this.attemptId = attemptId;
        this.sends = sends;
        this.configVersion = configVersion;
        this.elapsedMillis = elapsedMillis;
    }

    void rejected(ErrorResponse error) {
        write(
                EventCode.REQUEST_REFUSED,
                "code",
                error.code().label(),
                "status",
                error.status(),
                "detail",
                error.detail(),
                "retryAfterMillis",
                error.retryAfter().toMillis());
    }

    void waits(String service) {
        write(EventCode.REQUEST_WAITS, "service", service);
    }

    void waited(String service, HeldRequests.End end) {
        write(EventCode.REQUEST_WAITED, "service", service, "end", end.name().toLowerCase(Locale.ROOT));
    }

    void retried(String reason, @Nullable Target target) {
        write(EventCode.REQUEST_REPEATED, "reason", reason, "target", target == null ? "none" : target.instanceId());
    }

    void responseLost(Target target, String reason, int events, List<String> promptParts) {
        write(
                EventCode.RESPONSE_LOST,
                "target",
                target.instanceId(),
                "reason",
                reason,
                "events",
                events,
                "parts",
                loggedParts(promptParts));
    }

    void callerLeft(@Nullable TargetAttempt attempt, List<String> promptParts) {
        write(
                EventCode.CALLER_LEFT,
                "target",
                attempt == null ? "none" : attempt.target().instanceId(),
                "events",
                attempt == null ? 0 : attempt.events(),
                "parts",
                loggedParts(promptParts));
    }

    private static String loggedParts(List<String> promptParts) {
        return promptParts.stream().limit(MAX_LOGGED_PARTS).collect(Collectors.joining(","));
    }

    void failed(ResultCode code, String detail) {
        write(EventCode.REQUEST_FAILED, "code", code.label(), "detail", detail);
    }

    void completed(String service, Target target, int status, ResponseTiming timing) {
        write(
                EventCode.REQUEST_COMPLETED,
                "service",
                service,
                "target",
                target.instanceId(),
                "status",
                status,
                "firstByteMillis",
                timing.firstByteMillis(),
                "longestPauseMillis",
                timing.longestPauseMillis());
    }

    /** Logs that a step of the request has thrown. */
    void stepFailed(String step, Throwable fault) {
        logger.atError()
                .addKeyValue("event", EventCode.STEP_FAILED.label())
                .addKeyValue("step", step)
                .addKeyValue("sends", sends.getAsLong())
                .addKeyValue("request", attemptId)
                .setCause(fault)
                .log(EventCode.STEP_FAILED.summary());
    }

    /** Logs that the connection ended before the last byte of the response was written. */
    void cut(boolean headWritten) {
        write(EventCode.RESPONSE_CUT, "headWritten", headWritten);
    }

    /** Logs that the client has not read its response to the end. */
    void notRead() {
        logger.atInfo()
                .addKeyValue("request", attemptId)
                .addKeyValue("afterMillis", elapsedMillis.getAsLong())
                .log("response not read by the client at the drain limit");
    }

    void targetUnreachable(Target target, Throwable cause) {
        logger.atInfo()
                .addKeyValue("request", attemptId)
                .addKeyValue("target", target.instanceId())
                .addKeyValue("reason", cause.getMessage())
                .log("failed to connect to target");
    }

    private void write(EventCode event, Object... details) {
        List<Object> keyValues = new ArrayList<>(List.of(details));
        keyValues.addAll(List.of(
                "sends",
                sends.getAsLong(),
                "config",
                configVersion.getAsLong(),
                "afterMillis",
                elapsedMillis.getAsLong()));
        if (attemptId != null) {
            keyValues.add("request");
            keyValues.add(attemptId);
        }
        Events.log(logger, event, keyValues.toArray());
    }
}
