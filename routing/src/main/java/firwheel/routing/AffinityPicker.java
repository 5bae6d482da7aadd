package firwheel.routing;

import org.jspecify.annotations.Nullable;

/**
 * Picks the first rank after the prefix's position on the consistent-hash ring that is not excluded, regardless of
 * load. Picks a random rank if the request has no prefix or the first {@link #MAX_AFFINITY_RANKS} ranks are excluded.
 */
final class AffinityPicker implements RankPicker {
    private static final int MAX_AFFINITY_RANKS = 8;

    private final RankPicker withoutPrefix;

    AffinityPicker(RandomSource random) {
        this.withoutPrefix = new RandomPicker(random);
    }

    @Override
    public @Nullable RankCandidate pick(RankSet ranks, RouteRequest request, RoutingView view) {
        if (request.prefixHashes().isEmpty()) {
            return withoutPrefix.pick(ranks, request, view);
        }
        RankCandidate[] affinityRanks = new RankCandidate[MAX_AFFINITY_RANKS];
        int found = ranks.ranksClockwiseFrom(PrefixHasher.affinityKey(request.prefixHashes()), affinityRanks);
        for (int i = 0; i < found; i++) {
            if (!request.excluded().contains(affinityRanks[i].key())) {
                return affinityRanks[i];
            }
        }
        return withoutPrefix.pick(ranks, request, view);
    }
}
