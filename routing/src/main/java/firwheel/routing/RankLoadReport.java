package firwheel.routing;

/**
 * Load of one rank as reported by its agent.
 *
 * @param outstandingTokens remaining tokens of running and queued requests
 * @param inFlight number of running requests
 * @param queued number of queued requests
 * @param stepMicros the rank's own computing time in its last step; 0 if unknown
 * @param millisSinceLastOutput time since the engine last produced a token for a running request; 0 if none is running
 * @param sampledAtNanos time at which the load was sampled, on the receiver's monotonic clock
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
            throw new IllegalArgumentException("load values must not be negative");
        }
    }
}
