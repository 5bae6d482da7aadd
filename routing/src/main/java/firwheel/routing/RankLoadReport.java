package firwheel.routing;

/**
 * Load of one rank as its agent states it.
 *
 * @param outstandingTokens tokens of running and waiting requests that are not done yet
 * @param inFlight running requests
 * @param queued waiting requests
 * @param stepMicros own computing time of the rank in its last step; 0 when unknown
 * @param millisSinceLastOutput time since the engine last put out a token of its running requests; 0 when it runs none
 * @param sampledAtNanos monotonic time of the receiver at which the report was taken
 */
public record RankLoadReport(
        long outstandingTokens,
        int inFlight,
        int queued,
        long stepMicros,
        long millisSinceLastOutput,
        long sampledAtNanos) {
    public RankLoadReport {
        if (outstandingTokens < 0 || inFlight < 0 || queued < 0 || stepMicros < 0 || millisSinceLastOutput < 0) {
            throw new IllegalArgumentException("a load must not be negative");
        }
    }
}
