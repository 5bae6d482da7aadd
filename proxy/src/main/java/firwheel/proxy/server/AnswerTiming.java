package firwheel.proxy.server;

/** Times of the pieces of one answer, from the request's arrival. */
final class AnswerTiming {
    private static final long NOT_YET = -1;

    private long firstByteMillis = NOT_YET;
    private long lastPieceMillis;
    private long longestPauseMillis;

    /** Takes a piece that came {@code elapsedMillis} after the request; returns whether it is the first. */
    boolean onPiece(long elapsedMillis) {
        boolean first = firstByteMillis == NOT_YET;
        if (first) {
            firstByteMillis = elapsedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, elapsedMillis - lastPieceMillis);
        }
        lastPieceMillis = elapsedMillis;
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
