package firwheel.admission;

/**
 * What decides how a request may be repeated.
 *
 * @param idempotent whether it may run more than once
 * @param continuable whether the engine states that it can go on from a prompt plus the tokens already delivered
 * @param deadlineMillis reading of the entry's monotonic clock at which the caller's deadline passes
 */
public record RequestTraits(boolean idempotent, boolean continuable, long deadlineMillis) {}
