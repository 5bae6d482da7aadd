package firwheel.wire;

/** Messages about the load of a target. */
public sealed interface LoadMessage extends Message {
    /** Requests an up-to-date {@link Report}. */
    record Probe(long probeId) implements LoadMessage {}

    /**
     * Load of one rank.
     *
     * @param probeId id of the probe that this report answers, or 0 for an unsolicited report
     * @param row name of the row
     * @param rank position in the row, from 0
     * @param outstandingTokens tokens of running and queued requests
     * @param inFlight number of running requests
     * @param queued number of queued requests
     * @param stepMillis duration of the most recent step; 0 if unknown
     * @param millisSinceLastOutput time since the target's last output if a started stream is waiting for more;
     *     otherwise 0
     */
    record Report(
            long probeId,
            String row,
            int rank,
            long outstandingTokens,
            int inFlight,
            int queued,
            long stepMillis,
            long millisSinceLastOutput)
            implements LoadMessage {}

    /**
     * Reading of the agent's monotonic clock, sent when a link opens and about once a second. The receiver treats a
     * link on which the readings stop as dead.
     *
     * @param clockMillis clock reading
     */
    record ClockReading(long clockMillis) implements LoadMessage {}
}
