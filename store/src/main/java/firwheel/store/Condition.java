package firwheel.store;

/**
 * Precondition of a transaction: the current version of the row must equal {@code expectedVersion}.
 *
 * @param key key of the row
 * @param expectedVersion required version; 0 when the row must be absent
 */
public record Condition(String key, long expectedVersion) {}
