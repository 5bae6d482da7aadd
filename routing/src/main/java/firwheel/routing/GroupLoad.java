package firwheel.routing;

/**
 * Summary of the load of one group of ranks, cached for a short time.
 *
 * @param meanWork mean estimated work per rank, in tokens
 * @param occupancy running and queued requests divided by the maximum number of running requests
 * @param usableRanks number of ranks that are not stalled
 * @param readAtNanos monotonic time at which the loads were read
 */
record GroupLoad(double meanWork, double occupancy, int usableRanks, long readAtNanos) {
    /** Computes the summary from the current loads of all ranks of the group. */
    static GroupLoad read(RankGroup group, RoutingView view, double requestOverheadTokens) {
        double work = 0;
        long requests = 0;
        int usable = 0;
        for (RankCandidate rank : group.ranks()) {
            RankLoad load = view.load(rank.key());
            work += load.estimatedWork(requestOverheadTokens);
            requests += load.estimatedRequests();
            usable += load.stalled() ? 0 : 1;
        }
        int ranks = group.ranks().size();
        double slots = (double) ranks * group.row().maxInFlight();
        return new GroupLoad(work / ranks, requests / slots, usable, view.nowNanos());
    }
}
