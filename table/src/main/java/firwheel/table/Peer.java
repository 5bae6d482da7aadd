package firwheel.table;

/**
 * Process at the other end of a link.
 *
 * @param address IP number and port that it listens on
 * @param availabilityZone its zone
 * @param role what it runs
 * @param incarnation random number drawn at its start
 */
public record Peer(String address, String availabilityZone, Role role, long incarnation) {
    /** What a process runs. */
    public enum Role {
        ENTRY,
        AGENT
    }
}
