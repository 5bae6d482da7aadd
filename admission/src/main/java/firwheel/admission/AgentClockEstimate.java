package firwheel.admission;

/**
 * Entry's estimate of the monotonic clock of one agent process, from the readings on the agent's frames. It is behind the
 * true reading by at most the delay of the freshest frame, so times derived from it are never late. Not thread-safe.
 */
public final class AgentClockEstimate {
    private boolean known;
    private long offsetMillis;

    /** Takes a reading that arrived when the entry's own clock showed {@code ownMillis}. */
    public void observe(long agentMillis, long entryMillis) {
        long offset = agentMillis - entryMillis;
        offsetMillis = known ? Math.max(offsetMillis, offset) : offset;
        known = true;
    }

    /** Returns the agent's reading that is reached when the entry's own clock shows {@code ownMillis}. */
    public long toAgentMillis(long entryMillis) {
        if (!known) {
            throw new IllegalStateException("no reading of the agent's clock yet");
        }
        return entryMillis + offsetMillis;
    }
}
