package firwheel.table;

/**
 * Stored lease of a zone's controller.
 *
 * @param holderId id of the lease holder
 * @param fencingNumber number that increases with each acquisition
 * @param writeId unique id of the write, used to find out whether a write without a response was applied
 * @param durationMillis validity of the lease after a write
 */
public record LeaseRecord(String holderId, long fencingNumber, String writeId, long durationMillis) {}
