package firwheel.routing;

/** Rates a rank by its estimated outstanding work over its weight, plus what a missing prefix and distance cost. */
final class TokenScore {
    private static final double FIRST_RAMP_SHARE = 0.1;

    /** Blocks of a prompt beyond these are seldom shared between requests. */
    private static final int SHARED_BLOCKS = 16;

    private final TokenAwareSettings settings;
    private final LoadReading reading;
    private final long rampUpNanos;
    private final double reportMemoryNanos;

    TokenScore(TokenAwareSettings settings, LoadReading reading) {
        this.settings = settings;
        this.reading = reading;
        this.rampUpNanos = settings.rampUp().toNanos();
        this.reportMemoryNanos = settings.reportMemory().toNanos();
    }

    /** Returns the rating, lower being better; infinite if the rank may not be used. */
    double of(RankCandidate rank, boolean home, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        if (load.stalled() || atLimit(rank, load) || request.excluded().contains(rank.key())) {
            return Double.POSITIVE_INFINITY;
        }
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        double share = load.admissionShare() * rank.group().rampShare(view.nowNanos(), rampUpNanos, FIRST_RAMP_SHARE);
        double score = (work + request.estimatedTokens()) / (rank.row().weight() * share);
        score += settings.stragglerCost() * Math.max(0, work - meanWork);
        if (!home) {
            score += settings.missingPrefixCost() * sharedTokens(request);
        }
        if (!rank.row().availabilityZone().equals(view.ownZone())) {
            score += settings.otherZoneCost() * meanWork;
        }
        return score;
    }

    /** Returns whether the rank, with the request added, stays within the bound over its group's mean. */
    boolean withinBound(RankCandidate rank, RouteRequest request, RoutingView view) {
        RankLoad load = view.load(rank.key());
        double meanWork = groupMean(rank, load, view);
        double work = estimate(load, meanWork, view.nowNanos());
        return work <= settings.loadBound() * meanWork + settings.tokensPerRequest() + request.estimatedTokens();
    }

    /** Returns whether the rank's agent would refuse by the newest report. */
    static boolean atLimit(RankCandidate rank, RankLoad load) {
        return load.estimatedRequests() >= rank.maxRequests();
    }

    private double groupMean(RankCandidate rank, RankLoad load, RoutingView view) {
        boolean alone = rank.group().ranks().size() == 1;
        return alone
                ? load.estimatedWork(reading.tokensPerRequest())
                : rank.group().load(view, reading).meanWork();
    }

    /** The older a report, the less its difference from the mean says, since all entries have acted on it. */
    private double estimate(RankLoad load, double meanWork, long nowNanos) {
        double ageNanos = Math.max(0, nowNanos - load.reportedAtNanos());
        double kept = reportMemoryNanos / (reportMemoryNanos + ageNanos);
        return meanWork + kept * (load.estimatedWork(reading.tokensPerRequest()) - meanWork);
    }

    private static double sharedTokens(RouteRequest request) {
        return (double) PrefixHasher.BLOCK_TOKENS
                * Math.min(SHARED_BLOCKS, request.prefixHashes().size());
    }
}
