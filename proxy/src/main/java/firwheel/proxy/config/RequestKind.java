package firwheel.proxy.config;

/** Retry semantics and response format of a request. */
public enum RequestKind {
    /** Idempotent: may run more than once. */
    REPEATABLE,
    /** Not idempotent: must run at most once. */
    AT_MOST_ONCE,
    /** The response is a stream of events. */
    STREAM
}
