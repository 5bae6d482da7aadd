package firwheel.routing;

/**
 * Summary of one group's load, kept for a short time.
 *
 * @param meanWork mean estimated work of its ranks, in tokens
 * @param occupancy requests, running and waiting, over what may run at once
 * @param usableRanks ranks that are not stalled
 * @param readAtNanos time of the summary
 */
record GroupLoad(double meanWork, double occupancy, int usableRanks, long readAtNanos) {
    /** Reads the loads of all ranks of the group. */
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
