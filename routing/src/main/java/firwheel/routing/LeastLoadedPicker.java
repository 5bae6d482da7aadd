package firwheel.routing;

import org.jspecify.annotations.Nullable;

/**
 * Picks the rank with the fewest outstanding tokens in the latest reports. The scan starts at a random rank, so ties
 * are broken at random.
 */
final class LeastLoadedPicker implements RankPicker {
    private final RandomSource random;

    LeastLoadedPicker(RandomSource random) {
        this.random = random;
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        int start = random.nextInt(ranks.size());
        RankCandidate best = null;
        long bestTokens = Long.MAX_VALUE;
        for (int i = 0; i < ranks.size(); i++) {
            RankCandidate candidate = ranks.rank((start + i) % ranks.size());
            long tokens = view.load(candidate.key()).reportedTokens();
            if (tokens < bestTokens && !request.excluded().contains(candidate.key())) {
                best = candidate;
                bestTokens = tokens;
            }
        }
        return best;
    }
}
