package firwheel.table;

/**
 * Stored lease of a zone's controller.
 *
 * @param holderId host that holds the lease
 * @param fencingNumber rises with each acquisition
 * @param writeId unique id of the write, by which a lost answer is settled
 * @param durationMillis time that the lease lasts after a write
 */
public record LeaseRecord(String holderId, long fencingNumber, String writeId, long durationMillis) {}
