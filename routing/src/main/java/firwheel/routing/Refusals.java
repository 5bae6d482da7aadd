package firwheel.routing;

import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import java.time.Duration;

/** Refusals common to all routing policies. */
final class Refusals {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private Refusals() {}

    /** Returns the refusal for a model or service that no row serves. */
    static RouteDecision unknownName(TargetKind kind) {
        ResultCode code = kind == TargetKind.MODEL ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE;
        return new RouteDecision.Refused(code, Duration.ZERO);
    }

    /** Returns the refusal for a request that no rank can take. */
    static RouteDecision noTarget() {
        return new RouteDecision.Refused(ResultCode.NO_TARGET, RETRY_AFTER);
    }

    /** Returns the refusal for a request whose usable ranks are all at their limits. */
    static RouteDecision saturated() {
        return new RouteDecision.Refused(ResultCode.SATURATED, RETRY_AFTER);
    }
}
