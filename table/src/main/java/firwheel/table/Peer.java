package firwheel.table;

/**
 * Process at the other end of a link.
 *
 * @param address IP address and port that the process listens on
 * @param availabilityZone availability zone of the process
 * @param role role of the process
 * @param incarnation random number drawn when the process started
 */
public record Peer(String address, String availabilityZone, Role role, long incarnation) {
    /** Role of a process. */
    public enum Role {
        ENTRY,
        AGENT
    }
}
