package firwheel.routing;

/**
 * Load of one rank as seen by an entry.
 *
 * @param reportedTokens outstanding tokens in the latest report
 * @param reportedInFlight running requests in the latest report
 * @param reportedQueued queued requests in the latest report
 * @param reportedAtNanos monotonic time at which the latest report was sampled; 0 if there is none
 * @param ownTokensSinceReport tokens dispatched minus tokens finished by this entry since the latest report was sampled
 * @param ownRequestsSinceReport requests dispatched minus requests finished by this entry in the same period
 * @param ownInFlight open requests of this entry
 * @param admissionShare fraction of its normal share of new requests that the rank may get: 0 if stalled, 1 if healthy
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
    /** Load of a rank without any report or request. */
    public static final RankLoad UNKNOWN = new RankLoad(0, 0, 0, 0, 0, 0, 0, 1.0);

    /** Returns the estimated outstanding tokens. */
    public long estimatedTokens() {
        return Math.max(0, reportedTokens + ownTokensSinceReport);
    }

    /** Returns the estimated number of running and queued requests. */
    public int estimatedRequests() {
        return Math.max(0, reportedInFlight + reportedQueued + ownRequestsSinceReport);
    }

    /**
     * Returns the estimated outstanding work in tokens, with a fixed cost for each request in addition to its tokens.
     */
    public double estimatedWork(double requestOverheadTokens) {
        return estimatedTokens() + requestOverheadTokens * estimatedRequests();
    }

    /** Returns whether the rank is considered stalled and gets no new requests. */
    public boolean stalled() {
        return admissionShare <= 0;
    }
}
