package firwheel.routing;

import firwheel.model.RankKey;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Chooses by estimated outstanding tokens, prefix affinity with bounded load, and zone. It compares only a few ranks:
 * the affinity ranks of the prompt's prefix, recently probed ranks and random ranks. Because of the random ranks,
 * entries that do not know of each other's decisions do not all choose the same rank. Thread-safe if its random source
 * is.
 */
public final class TokenAwarePolicy implements RoutingPolicy {
    private static final int ZONE_SAMPLE_GROUPS = 16;
    private static final int MAX_PROBED_RANKS = 4;

    /** Ranks visited on the ring for each affinity rank, as ranks above the load bound are skipped. */
    private static final int RING_WALK_FACTOR = 3;

    private static final long GROUP_LOAD_AGE_NANOS = Duration.ofMillis(20).toNanos();

    private final RankIndex.Cache indexes = new RankIndex.Cache();
    private final Map<String, ZoneSpillover> spilloverByName = new ConcurrentHashMap<>();
    private final TokenAwareSettings settings;
    private final RandomSource random;
    private final GroupLoadOptions loadOptions;
    private final TokenScorer scorer;

    public TokenAwarePolicy(TokenAwareSettings settings, RandomSource random) {
        this.settings = settings;
        this.random = random;
        this.loadOptions = new GroupLoadOptions(GROUP_LOAD_AGE_NANOS, settings.requestOverheadTokens());
        this.scorer = new TokenScorer(settings, loadOptions);
    }

    @Override
    public RouteDecision choose(RouteRequest request, RoutingView view) {
        RankIndex index = indexes.of(view);
        ServedRanks served = index.served(request.kind(), request.servedName());
        if (served == null) {
            return Refusals.unknownName(request.kind());
        }
        RankSet ownZoneRanks = served.inZone(view.ownZone());
        boolean spilling = ownZoneRanks.size() > 0 && spilling(ownZoneRanks, request, view);
        RankSet eligibleRanks = ownZoneRanks.size() == 0 || spilling ? served.all() : ownZoneRanks;
        RankCandidate best = best(eligibleRanks, index, request, view);
        if (best == null && eligibleRanks.size() < served.all().size()) {
            best = best(served.all(), index, request, view);
        }
        if (best != null) {
            return new RouteDecision.Chosen(best.key(), best.address());
        }
        return anyAtLimit(served.all(), view) ? Refusals.saturated() : Refusals.noTarget();
    }

    @Override
    public List<RankKey> probeTargets(RouteRequest request, RoutingView view, int count) {
        ServedRanks served = indexes.of(view).served(request.kind(), request.servedName());
        if (served == null) {
            return List.of();
        }
        RankSet ownZoneRanks = served.inZone(view.ownZone());
        RankSet eligibleRanks = ownZoneRanks.size() == 0 ? served.all() : ownZoneRanks;
        CandidateList candidates = new CandidateList(Math.min(count, eligibleRanks.size()));
        addAffinityRanks(candidates, eligibleRanks, request, view);
        for (int tries = 0; tries < 2 * count && eligibleRanks.size() > 0; tries++) {
            candidates.add(eligibleRanks.rank(random.nextInt(eligibleRanks.size())), false);
        }
        List<RankKey> keys = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            keys.add(candidates.get(i).key());
        }
        return keys;
    }

    private boolean spilling(RankSet ownZoneRanks, RouteRequest request, RoutingView view) {
        ZoneSpillover spillover = spilloverByName.get(request.servedName());
        if (spillover == null) {
            spillover = spilloverByName.computeIfAbsent(request.servedName(), name -> new ZoneSpillover());
        }
        return spillover.update(occupancy(ownZoneRanks, view), view.nowNanos());
    }

    private double occupancy(RankSet ranks, RoutingView view) {
        List<RankGroup> groups = ranks.groups();
        int sampled = Math.min(ZONE_SAMPLE_GROUPS, groups.size());
        int start = sampled == groups.size() ? 0 : random.nextInt(groups.size());
        double sum = 0;
        for (int i = 0; i < sampled; i++) {
            RankGroup group = groups.get((start + i) % groups.size());
            sum += group.load(view, loadOptions).occupancy();
        }
        return sum / sampled;
    }

    private @Nullable RankCandidate best(
            RankSet eligibleRanks, RankIndex index, RouteRequest request, RoutingView view) {
        if (eligibleRanks.size() == 0) {
            return null;
        }
        CandidateList candidates =
                new CandidateList(settings.affinityRanks() + settings.randomSamples() + MAX_PROBED_RANKS);
        addAffinityRanks(candidates, eligibleRanks, request, view);
        addProbed(candidates, index, request, view);
        addSamples(candidates, eligibleRanks);
        RankCandidate best = lowestScored(candidates, request, view);
        return best != null ? best : firstUsable(eligibleRanks, request, view);
    }

    /** Adds the first ranks clockwise from the prefix on the ring, skipping those above the load bound. */
    private void addAffinityRanks(
            CandidateList candidates, RankSet eligibleRanks, RouteRequest request, RoutingView view) {
        if (request.prefixHashes().isEmpty() || settings.affinityRanks() == 0) {
            return;
        }
        RankCandidate[] visitedRanks = new RankCandidate[RING_WALK_FACTOR * settings.affinityRanks()];
        int found = eligibleRanks.ranksClockwiseFrom(PrefixHasher.affinityKey(request.prefixHashes()), visitedRanks);
        int added = 0;
        for (int i = 0; i < found && added < settings.affinityRanks(); i++) {
            if (scorer.withinBound(visitedRanks[i], request, view)) {
                candidates.add(visitedRanks[i], true);
                added++;
            }
        }
    }

    private void addSamples(CandidateList candidates, RankSet eligibleRanks) {
        if (eligibleRanks.size() <= settings.randomSamples()) {
            for (int i = 0; i < eligibleRanks.size(); i++) {
                candidates.add(eligibleRanks.rank(i), false);
            }
            return;
        }
        for (int i = 0; i < settings.randomSamples(); i++) {
            candidates.add(eligibleRanks.rank(random.nextInt(eligibleRanks.size())), false);
        }
    }

    private static void addProbed(CandidateList candidates, RankIndex index, RouteRequest request, RoutingView view) {
        List<RankKey> probedKeys = view.recentlyProbed(request.kind(), request.servedName());
        for (int i = Math.max(0, probedKeys.size() - MAX_PROBED_RANKS); i < probedKeys.size(); i++) {
            RankCandidate rank = index.rank(probedKeys.get(i));
            if (rank != null) {
                candidates.add(rank, false);
            }
        }
    }

    private @Nullable RankCandidate lowestScored(CandidateList candidates, RouteRequest request, RoutingView view) {
        RankCandidate best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            double exactScore = scorer.score(candidates.get(i), candidates.hasAffinity(i), request, view);
            double jitteredScore = exactScore * (1 + settings.scoreJitter() * random.nextDouble());
            if (jitteredScore < bestScore) {
                best = candidates.get(i);
                bestScore = jitteredScore;
            }
        }
        return best;
    }

    private @Nullable RankCandidate firstUsable(RankSet eligibleRanks, RouteRequest request, RoutingView view) {
        int start = random.nextInt(eligibleRanks.size());
        for (int i = 0; i < eligibleRanks.size(); i++) {
            RankCandidate rank = eligibleRanks.rank((start + i) % eligibleRanks.size());
            if (scorer.score(rank, false, request, view) < Double.POSITIVE_INFINITY) {
                return rank;
            }
        }
        return null;
    }

    private static boolean anyAtLimit(RankSet ranks, RoutingView view) {
        for (int i = 0; i < ranks.size(); i++) {
            RankLoad load = view.load(ranks.rank(i).key());
            if (!load.stalled() && TokenScorer.isAtLimit(ranks.rank(i), load)) {
                return true;
            }
        }
        return false;
    }
}
