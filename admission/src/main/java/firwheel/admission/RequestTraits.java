package firwheel.admission;

/**
 * Properties of a request that decide whether it may be retried.
 *
 * @param idempotent whether it may run more than once
 * @param continuable whether the engine reports that it can continue from the prompt plus the tokens already delivered
 * @param deadlineMillis caller's deadline on the entry's monotonic clock
 */
public record RequestTraits(boolean idempotent, boolean continuable, long deadlineMillis) {}
