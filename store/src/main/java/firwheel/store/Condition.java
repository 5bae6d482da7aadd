package firwheel.store;

/**
 * Holds when the row's present version equals {@code expectedVersion}.
 *
 * @param key row to compare
 * @param expectedVersion version that must be present; 0 when the row must be absent
 */
public record Condition(String key, long expectedVersion) {}
