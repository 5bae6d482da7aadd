package firwheel.load;

/** What became of one request, as its caller saw it. */
public enum Verdict {
    /** The whole answer came and is the expected one. */
    COMPLETE(true),
    /** Refused; it must not have run. */
    NOT_RUN(true),
    /** An explicit answer said that the outcome is unknown. */
    UNKNOWN(true),
    /** An explicit answer or event said that the request failed. */
    FAILED(true),
    /** The connection broke before the end of the answer; the caller can tell. */
    ABORTED(true),
    /** No end of the answer came in time. */
    LOST(false),
    /** The answer was called whole but pieces are missing. */
    CUT(false),
    /** A piece came twice. */
    DOUBLED(false),
    /** A piece or answer belongs to another request. */
    FOREIGN(false);

    private final boolean allowed;

    Verdict(boolean allowed) {
        this.allowed = allowed;
    }

    /** Returns whether the promises to callers allow it. */
    public boolean allowed() {
        return allowed;
    }
}
