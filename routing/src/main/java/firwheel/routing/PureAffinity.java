package firwheel.routing;

import org.jspecify.annotations.Nullable;

/** Takes the first usable rank of the prefix's place on the consistent-hash ring, whatever its load. */
final class PureAffinity implements RankPicker {
    private static final int MAX_HOMES = 8;

    private final RankPicker withoutPrefix;

    PureAffinity(RandomSource random) {
        this.withoutPrefix = new RandomChoice(random);
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        if (request.prefixHashes().isEmpty()) {
            return withoutPrefix.pick(ranks, request, view);
        }
        RankCandidate[] homes = new RankCandidate[MAX_HOMES];
        int found = ranks.homes(PrefixHasher.affinityKey(request.prefixHashes()), homes);
        for (int i = 0; i < found; i++) {
            if (!request.excluded().contains(homes[i].key())) {
                return homes[i];
            }
        }
        return withoutPrefix.pick(ranks, request, view);
    }
}
