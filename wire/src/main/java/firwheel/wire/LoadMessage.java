package firwheel.wire;

/** Messages about the load of a target. */
public sealed interface LoadMessage extends Message {
    /** Asks for a fresh {@link Report}. */
    record Probe(long probeId) implements LoadMessage {}

    /**
     * Load of one rank.
     *
     * @param probeId probe that is answered, or 0
     * @param row name of the row
     * @param rank rank in the row
     * @param outstandingTokens tokens of running and waiting requests
     * @param inFlight running requests
     * @param queued waiting requests
     * @param stepMillis duration of the newest step; 0 when unknown
     * @param millisSinceLastOutput time since the target's last output while a stream that has begun waits for
     *     more; else 0
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
     * Reading of the agent's monotonic clock, sent when a link opens and about once a second. A link on which none comes
     * any more is dead.
     *
     * @param clockMillis the reading
     */
    record ClockReading(long clockMillis) implements LoadMessage {}
}
