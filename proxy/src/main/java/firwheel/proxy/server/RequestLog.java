package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.ResultCode;
import firwheel.proxy.targets.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the lines about one request, each with its id, its sends, the configuration in force and its age. */
final class RequestLog {
    private static final Logger logger = LoggerFactory.getLogger(RequestLog.class);

    private final @Nullable String request;
    private final LongSupplier sends;
    private final LongSupplier configVersion;
    private final LongSupplier elapsedMillis;

    RequestLog(@Nullable String request, LongSupplier sends, LongSupplier configVersion, LongSupplier elapsedMillis) {
        this.request = request;
        this.sends = sends;
        this.configVersion = configVersion;
        this.elapsedMillis = elapsedMillis;
    }

    void refused(Refusal refusal) {
        write(
                EventCode.REQUEST_REFUSED,
                "code",
                refusal.code().label(),
                "status",
                refusal.status(),
                "detail",
                refusal.detail(),
                "retryAfterMillis",
                refusal.retryAfter().toMillis());
    }

    void repeated(String reason) {
        write(EventCode.REQUEST_REPEATED, "reason", reason);
    }

    void failed(ResultCode code, String detail) {
        write(EventCode.REQUEST_FAILED, "code", code.label(), "detail", detail);
    }

    void completed(String service, Target target, int status, AnswerTiming timing) {
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

    void targetNotReached(Target target, Throwable cause) {
        logger.atInfo()
                .addKeyValue("request", request)
                .addKeyValue("target", target.instanceId())
                .addKeyValue("reason", cause.getMessage())
                .log("target could not be reached");
    }

    private void write(EventCode event, Object... details) {
        List<Object> all = new ArrayList<>(List.of(details));
        all.addAll(List.of(
                "sends",
                sends.getAsLong(),
                "config",
                configVersion.getAsLong(),
                "afterMillis",
                elapsedMillis.getAsLong()));
        if (request != null) {
            all.add("request");
            all.add(request);
        }
        Events.log(logger, event, all.toArray());
    }
}
