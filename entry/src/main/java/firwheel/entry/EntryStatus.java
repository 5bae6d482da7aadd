package firwheel.entry;

/**
 * What {@code /status} of an entry shows.
 *
 * @param role always {@code entry}
 * @param availabilityZone zone of the host
 * @param revision table revision in force
 * @param inFlight open requests
 * @param draining whether the entry is shutting down
 */
public record EntryStatus(String role, String availabilityZone, long revision, int inFlight, boolean draining) {}
