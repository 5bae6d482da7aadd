package firwheel.wire;

/**
 * Identity that a process presents to its peers.
 *
 * @param address address on which the process listens, as {@code ip:port}
 * @param availabilityZone availability zone of the process
 * @param role {@code entry} or {@code agent}
 * @param incarnation random number chosen when the process starts; tells a restarted process from the previous one
 */
public record LinkIdentity(String address, String availabilityZone, String role, long incarnation) {}
