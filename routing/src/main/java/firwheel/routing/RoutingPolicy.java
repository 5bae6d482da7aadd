package firwheel.routing;

/** Chooses a rank for a request. Implementations do no I/O. */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns the chosen rank or a refusal. */
    RouteDecision choose(RouteRequest request, RoutingView view);
}
