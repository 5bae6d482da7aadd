package firwheel.routing;

/**
 * Scores a rank by its estimated outstanding work divided by its weight, plus penalties for load above the mean of its
 * group, for lack of affinity to the prompt's prefix and for being in another zone.
 */
final class TokenScorer {
    private static final double INITIAL_RAMP_UP_FRACTION = 0.1;

    /** Later blocks of a prompt are rarely shared between requests and are not counted. */
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

    /** Returns the score, lower is better; infinite if the rank must not be used. */
    double score(RankCandidate rank, boolean hasAffinity, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        if (load.stalled() || isAtLimit(rank, load) || request.excluded().contains(rank.key())) {
            return Double.POSITIVE_INFINITY;
        }
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        double share = load.admissionShare()
                * rank.group().rampUpFraction(view.nowNanos(), rampUpNanos, INITIAL_RAMP_UP_FRACTION);
        double total = (work + request.estimatedTokens()) / (rank.row().weight() * share);
        total += settings.stragglerCost() * Math.max(0, work - meanWork);
        if (!hasAffinity) {
            total += settings.prefixMissCost() * sharedTokens(request);
        }
        if (!rank.row().availabilityZone().equals(view.ownZone())) {
            total += settings.crossZoneCost() * meanWork;
        }
        return total;
    }

    /**
     * Returns whether the rank's load is within the load bound relative to its group's mean, with room for the request.
     */
    boolean withinBound(RankCandidate rank, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        return work <= settings.loadBound() * meanWork + settings.requestOverheadTokens() + request.estimatedTokens();
    }

    /** Returns whether the rank's agent is expected to refuse a request because its limits are reached. */
    static boolean isAtLimit(RankCandidate rank, RankLoad load) {
        return load.estimatedRequests() >= rank.maxRequests();
    }

    private double groupMean(RankCandidate rank, RankLoad load, RoutingView view) {
        boolean singleRank = rank.group().ranks().size() == 1;
        return singleRank
                ? load.estimatedWork(loadOptions.requestOverheadTokens())
                : rank.group().load(view, loadOptions).meanWork();
    }

    /**
     * Estimates the work of a rank. The older its report, the closer the estimate is to the group's mean: all entries
     * have already acted on the report, so its difference from the mean says less.
     */
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
