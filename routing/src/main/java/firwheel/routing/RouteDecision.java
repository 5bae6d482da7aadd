package firwheel.routing;

import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import java.time.Duration;

/** Outcome of a routing decision. */
public sealed interface RouteDecision {
    /** Send the request to this rank. */
    record Chosen(RankKey key, RankAddress address) implements RouteDecision {}

    /** Refuse the request. */
    record Refused(ResultCode code, Duration retryAfter) implements RouteDecision {}
}
