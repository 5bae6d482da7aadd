package firwheel.routing;

/**
 * What an entry knows of the load of one rank.
 *
 * @param reportedTokens outstanding tokens in the newest report
 * @param reportedInFlight running requests in the newest report
 * @param reportedQueued waiting requests in the newest report
 * @param reportedAtNanos monotonic time at which the newest report was taken; 0 when none was
 * @param ownTokensSinceReport tokens that this entry sent, less those it saw finish, after the newest report was taken
 * @param ownRequestsSinceReport the same in requests
 * @param ownInFlight requests of this entry that are still open
 * @param admissionShare share of its usual new work that the rank may get: 0 while it is stalled, 1 when healthy
 */
public record RankLoad(
        long reportedTokens,
        int reportedInFlight,
        int reportedQueued,
        long reportedAtNanos,
        long ownTokensSinceReport,
        int ownRequestsSinceReport,
        int ownInFlight,
        double admissionShare) {
    /** A rank of which nothing is known. */
    public static final RankLoad UNKNOWN = new RankLoad(0, 0, 0, 0, 0, 0, 0, 1.0);

    /** Returns the estimate of outstanding tokens. */
    public long estimatedTokens() {
        return Math.max(0, reportedTokens + ownTokensSinceReport);
    }

    /** Returns the estimate of running and waiting requests. */
    public int estimatedRequests() {
        return Math.max(0, reportedInFlight + reportedQueued + ownRequestsSinceReport);
    }

    /** Returns the estimate of outstanding work in tokens, where a request is some work beside its tokens. */
    public double estimatedWork(double requestOverheadTokens) {
        return estimatedTokens() + requestOverheadTokens * estimatedRequests();
    }

    /** Returns whether the rank is taken for stalled and gets no new work. */
    public boolean stalled() {
        return admissionShare <= 0;
    }
}
