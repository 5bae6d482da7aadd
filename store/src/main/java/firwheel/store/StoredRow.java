package firwheel.store;

/**
 * One row of the platform's table service.
 *
 * @param key unique key, with parts separated by slashes
 * @param version number of the last write to the row, starting at 1; 0 for an absent row
 * @param value JSON text
 */
public record StoredRow(String key, long version, String value) {}
