package firwheel.proxy.server;

/** Arrival times of the chunks of one response, relative to the arrival of the request. */
final class ResponseTiming {
    private static final long UNSET = -1;

    private long firstByteMillis = UNSET;
    private long lastChunkMillis;
    private long longestPauseMillis;

    /** Records a chunk that arrived {@code elapsedMillis} after the request; returns whether it is the first. */
    boolean onChunk(long elapsedMillis) {
        boolean first = firstByteMillis == UNSET;
        if (first) {
            firstByteMillis = elapsedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, elapsedMillis - lastChunkMillis);
        }
        lastChunkMillis = elapsedMillis;
        return first;
    }

    /** Returns the time to the first chunk, or -1 if none has arrived. */
    long firstByteMillis() {
        return firstByteMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
