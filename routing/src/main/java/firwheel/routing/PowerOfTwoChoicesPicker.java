package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Picks the less loaded of two random ranks, according to the latest reports. */
final class PowerOfTwoChoicesPicker implements RankPicker {
    private final RandomPicker randomPicker;

    PowerOfTwoChoicesPicker(RandomSource random) {
        this.randomPicker = new RandomPicker(random);
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        RankCandidate first = randomPicker.pick(ranks, request, view);
        RankCandidate second = randomPicker.pick(ranks, request, view);
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        long firstTokens = view.load(first.key()).reportedTokens();
        long secondTokens = view.load(second.key()).reportedTokens();
        return firstTokens <= secondTokens ? first : second;
    }
}
