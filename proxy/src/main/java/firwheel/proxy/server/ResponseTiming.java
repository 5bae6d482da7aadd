package firwheel.proxy.server;

/** Times of the pieces of one answer, from the request's arrival. */
final class ResponseTiming {
    private static final long UNSET = -1;

    private long firstByteMillis = UNSET;
    private long lastChunkMillis;
    private long longestPauseMillis;

    /** Takes a piece that came {@code elapsedMillis} after the request; returns whether it is the first. */
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

    /** Returns the time to the first piece, or -1 before it. */
    long firstByteMillis() {
        return firstByteMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
