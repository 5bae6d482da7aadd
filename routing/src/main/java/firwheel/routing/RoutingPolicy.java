package firwheel.routing;

import firwheel.model.RankKey;
import java.util.List;

/** Chooses a rank for a request. Implementations do no I/O. */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns the chosen rank or a refusal. */
    RouteDecision choose(RouteRequest request, RoutingView view);

    /**
     * Returns ranks whose fresh load would serve a decision on this request best, most useful first.
     *
     * @param count how many to return at most
     */
    default List<RankKey> probeTargets(RouteRequest request, RoutingView view, int count) {
        return List.of();
    }
}
