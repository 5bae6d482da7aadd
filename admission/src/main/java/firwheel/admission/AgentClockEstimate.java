package firwheel.admission;

/**
 * Entry-side estimate of the monotonic clock of one agent process, based on the clock readings in the agent's frames.
 * The estimate lags the true clock by at most the smallest frame delay seen, so times derived from it are never too
 * late. Not thread-safe.
 */
public final class AgentClockEstimate {
    private boolean known;
    private long offsetMillis;

    /** Records an agent clock reading that was received at {@code entryMillis} on the entry's clock. */
    public void observe(long agentMillis, long entryMillis) {
        long offset = agentMillis - entryMillis;
        offsetMillis = known ? Math.max(offsetMillis, offset) : offset;
        known = true;
    }

    /** Converts a time on the entry's clock to the estimated time on the agent's clock. */
    public long toAgentMillis(long entryMillis) {
        if (!known) {
            throw new IllegalStateException("no clock reading received from the agent");
        }
        return entryMillis + offsetMillis;
    }
}
