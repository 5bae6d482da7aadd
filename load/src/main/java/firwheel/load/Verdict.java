package firwheel.load;

/** Outcome of one request, as observed by its caller. */
public enum Verdict {
    /** The response is complete and matches the expected one. */
    COMPLETE(true),
    /** The request was rejected, or none of the entries tried accepted a connection; it must not have been executed. */
    NOT_RUN(true),
    /** The response states that the outcome is unknown. */
    UNKNOWN(true),
    /** The response or an error event states that the request failed. */
    FAILED(true),
    /** The connection broke before the end of the response, which the caller can detect. */
    ABORTED(true),
    /** The response did not end in time. */
    LOST(false),
    /** The response ended as if complete, but parts of it are missing or wrong. */
    CUT(false),
    /** A part of the response was received twice. */
    DOUBLED(false),
    /** The response or a part of it belongs to another request or has an unexpected format. */
    FOREIGN(false);

    private final boolean allowed;

    Verdict(boolean allowed) {
        this.allowed = allowed;
    }

    /** Returns whether the delivery guarantees to callers permit this outcome. */
    public boolean allowed() {
        return allowed;
    }
}
