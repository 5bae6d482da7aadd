package firwheel.routing;

/**
 * What an entry knows of the load of one rank.
 *
 * @param reportedTokens outstanding tokens in the newest report
 * @param reportedInFlight running requests in the newest report
 * @param reportedQueued waiting requests in the newest report
 * @param reportedAtNanos monotonic time at which the newest report was received; 0 when none was
 * @param ownTokensSinceReport tokens that this entry sent after the newest report
 * @param ownInFlight requests of this entry that are still open
 * @param stalled whether the rank is taken for stalled
 */
public record RankLoad(
        long reportedTokens,
        int reportedInFlight,
        int reportedQueued,
        long reportedAtNanos,
        long ownTokensSinceReport,
        int ownInFlight,
        boolean stalled) {
    /** A rank of which nothing is known. */
    public static final RankLoad UNKNOWN = new RankLoad(0, 0, 0, 0, 0, 0, false);

    /** Returns the estimate of outstanding tokens. */
    public long estimatedTokens() {
        return reportedTokens + ownTokensSinceReport;
    }
}
