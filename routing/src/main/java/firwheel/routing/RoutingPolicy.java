package firwheel.routing;

import firwheel.model.RankKey;
import java.util.List;

/** Chooses a rank for a request. Implementations do no I/O. */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns the chosen rank or a refusal. */
    RouteDecision choose(RouteRequest request, RoutingView view);

    /**
     * Returns the ranks whose load is most useful to probe for this request, most useful first.
     *
     * @param count maximum number of ranks to return
     */
    default List<RankKey> probeTargets(RouteRequest request, RoutingView view, int count) {
        return List.of();
    }
}
