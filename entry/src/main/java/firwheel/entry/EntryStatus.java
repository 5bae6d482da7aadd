package firwheel.entry;

/**
 * Response body of an entry's {@code /status} endpoint.
 *
 * @param role always {@code entry}
 * @param availabilityZone availability zone of the host
 * @param revision revision of the active table
 * @param inFlight number of open requests
 * @param draining whether the entry is shutting down
 */
public record EntryStatus(String role, String availabilityZone, long revision, int inFlight, boolean draining) {}
