package firwheel.store;

/**
 * One row of the platform's table service.
 *
 * @param key unique key; parts are separated by slashes
 * @param version rises with each write of the row, from 1; 0 stands for an absent row
 * @param value JSON text
 */
public record StoredRow(String key, long version, String value) {}
