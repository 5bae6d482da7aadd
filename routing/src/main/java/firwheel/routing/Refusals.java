package firwheel.routing;

import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import java.time.Duration;

/** Refusals that all policies share. */
final class Refusals {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private Refusals() {}

    /** No row serves the name. */
    static RouteDecision unknownName(TargetKind kind) {
        ResultCode code = kind == TargetKind.MODEL ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE;
        return new RouteDecision.Refused(code, Duration.ZERO);
    }

    /** No rank can take the request. */
    static RouteDecision noTarget() {
        return new RouteDecision.Refused(ResultCode.NO_TARGET, RETRY_AFTER);
    }

    /** All ranks are at their limits. */
    static RouteDecision saturated() {
        return new RouteDecision.Refused(ResultCode.SATURATED, RETRY_AFTER);
    }
}
