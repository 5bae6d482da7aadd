package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Policy that applies a picker to the ranks of the entry's own zone, or to those of all zones if that yields none. */
final class PickerPolicy implements RoutingPolicy {
    private final RankIndex.Cache indexes = new RankIndex.Cache();
    private final RankPicker picker;

    PickerPolicy(RankPicker picker) {
        this.picker = picker;
    }

    @Override
    public RouteDecision choose(RouteRequest request, RoutingView view) {
        ServedRanks served = indexes.of(view).served(request.kind(), request.servedName());
        if (served == null) {
            return Refusals.unknownName(request.kind());
        }
        RankCandidate picked = pick(served.inZone(view.ownZone()), request, view);
        if (picked == null) {
            picked = pick(served.all(), request, view);
        }
        return picked == null ? Refusals.noTarget() : new RouteDecision.Chosen(picked.key(), picked.address());
    }

    private @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        return ranks.size() == 0 ? null : picker.pick(ranks, request, view);
    }
}
