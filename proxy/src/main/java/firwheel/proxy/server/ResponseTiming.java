package firwheel.proxy.server;

/** Arrival times of the chunks of one response, relative to the arrival of the request. */
final class ResponseTiming {
    private static final long UNSET = -1;

    private long firstByteMillis = UNSET;
    private long lastChunkMillis;
    private long longestPauseMillis;

    /**
     * Records a chunk that arrived {@code elapsedMillis} after the request; returns the pause since the one before, or -1
     * if it is the first.
     */
    long onChunk(long elapsedMillis) {
        long pauseMillis = firstByteMillis == UNSET ? UNSET : elapsedMillis - lastChunkMillis;
        if (pauseMillis == UNSET) {
            firstByteMillis = elapsedMillis;
        }
        longestPauseMillis = Math.max(longestPauseMillis, pauseMillis);
        lastChunkMillis = elapsedMillis;
        return pauseMillis;
    }

    /** Returns the time to the first chunk, or -1 if none has arrived. */
    long firstByteMillis() {
        return firstByteMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
