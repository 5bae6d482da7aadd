package firwheel.routing;

/** Rates a rank by its estimated outstanding work over its weight, plus what a missing prefix and distance cost. */
final class TokenScorer {
    private static final double INITIAL_RAMP_UP_FRACTION = 0.1;

    /** Blocks of a prompt beyond these are seldom shared between requests. */
    private static final int MAX_SHARED_BLOCKS = 16;

    private final TokenAwareSettings settings;
    private final GroupLoadOptions loadOptions;
    private final long rampUpNanos;
    private final double reportHalfWeightNanos;

    TokenScorer(TokenAwareSettings settings, GroupLoadOptions loadOptions) {
        this.settings = settings;
        this.loadOptions = loadOptions;
        this.rampUpNanos = settings.rampUp().toNanos();
        this.reportHalfWeightNanos = settings.reportHalfWeightAge().toNanos();
    }

    /** Returns the rating, lower being better; infinite if the rank may not be used. */
    double score(RankCandidate rank, boolean hasAffinity, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        if (load.stalled() || isAtLimit(rank, load) || request.excluded().contains(rank.key())) {
            return Double.POSITIVE_INFINITY;
        }
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        double share = load.admissionShare()
                * rank.group().rampUpFraction(view.nowNanos(), rampUpNanos, INITIAL_RAMP_UP_FRACTION);
        double score = (work + request.estimatedTokens()) / (rank.row().weight() * share);
        score += settings.stragglerCost() * Math.max(0, work - meanWork);
        if (!hasAffinity) {
            score += settings.prefixMissCost() * sharedTokens(request);
        }
        if (!rank.row().availabilityZone().equals(view.ownZone())) {
            score += settings.crossZoneCost() * meanWork;
        }
        return score;
    }

    /** Returns whether the rank, with the request added, stays within the bound over its group's mean. */
    boolean withinBound(RankCandidate rank, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        return work <= settings.loadBound() * meanWork + settings.requestOverheadTokens() + request.estimatedTokens();
    }

    /** Returns whether the rank's agent would refuse by the newest report. */
    static boolean isAtLimit(RankCandidate rank, RankLoad load) {
        return load.estimatedRequests() >= rank.maxRequests();
    }

    private double groupMean(RankCandidate rank, RankLoad load, RoutingView view) {
        boolean singleRank = rank.group().ranks().size() == 1;
        return singleRank
                ? load.estimatedWork(loadOptions.requestOverheadTokens())
                : rank.group().load(view, loadOptions).meanWork();
    }

    /** The older a report, the less its difference from the mean says, since all entries have acted on it. */
    private double estimate(RankLoad load, double meanWork, long nowNanos) {
        double ageNanos = Math.max(0, nowNanos - load.reportedAtNanos());
        double reportWeight = reportHalfWeightNanos / (reportHalfWeightNanos + ageNanos);
        return meanWork + reportWeight * (load.estimatedWork(loadOptions.requestOverheadTokens()) - meanWork);
    }

    private static double sharedTokens(RouteRequest request) {
        return (double) PrefixHasher.BLOCK_TOKENS
                * Math.min(MAX_SHARED_BLOCKS, request.prefixHashes().size());
    }
}
