package firwheel.agent;

/**
 * What {@code /status} of an agent shows.
 *
 * @param role always {@code agent}
 * @param availabilityZone zone of the host
 * @param row row of the target
 * @param rank rank of the target
 * @param revision table revision in force
 * @param inFlight running attempts
 * @param draining whether the agent is shutting down
 */
public record AgentStatus(
        String role, String availabilityZone, String row, int rank, long revision, int inFlight, boolean draining) {}
