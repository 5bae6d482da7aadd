package firwheel.proxy.config;

/** How often a request may run, and what shape its answer has. */
public enum RequestKind {
    /** Idempotent: may run more than once. */
    REPEATABLE,
    /** Not idempotent: runs at most once. */
    AT_MOST_ONCE,
    /** Answered by a series of events. */
    STREAM
}
