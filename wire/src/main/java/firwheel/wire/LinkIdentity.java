package firwheel.wire;

/**
 * How a process names itself to its peers.
 *
 * @param address address that it listens on, as {@code ip:port}
 * @param availabilityZone its zone
 * @param role {@code entry} or {@code agent}
 * @param incarnation random number drawn when the process started
 */
public record LinkIdentity(String address, String availabilityZone, String role, long incarnation) {}
