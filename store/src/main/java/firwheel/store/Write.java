package firwheel.store;

import org.jspecify.annotations.Nullable;

/**
 * One write of a transaction.
 *
 * @param key key of the row to write
 * @param value new JSON text, or null to delete the row
 */
public record Write(String key, @Nullable String value) {}
