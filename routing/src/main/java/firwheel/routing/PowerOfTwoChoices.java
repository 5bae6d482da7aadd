package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Takes the less loaded, by the newest reports, of two ranks drawn at random. */
final class PowerOfTwoChoices implements RankPicker {
    private final RandomChoice draw;

    PowerOfTwoChoices(RandomSource random) {
        this.draw = new RandomChoice(random);
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        RankCandidate first = draw.pick(ranks, request, view);
        RankCandidate second = draw.pick(ranks, request, view);
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        long firstTokens = view.load(first.key()).reportedTokens();
        long secondTokens = view.load(second.key()).reportedTokens();
        return firstTokens <= secondTokens ? first : second;
    }
}
