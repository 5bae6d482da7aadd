package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Picks one of the ranks that serve a request. */
@FunctionalInterface
interface RankPicker {
    /** Returns the picked rank, or null if none is eligible. */
    @Nullable
    RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view);
}
