package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Picks a random rank that is not excluded. */
final class RandomPicker implements RankPicker {
    private static final int MAX_TRIES = 32;

    private final RandomSource random;

    RandomPicker(RandomSource random) {
        this.random = random;
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            RankCandidate candidate = ranks.rank(random.nextInt(ranks.size()));
            if (!request.excluded().contains(candidate.key())) {
                return candidate;
            }
        }
        return null;
    }
}
