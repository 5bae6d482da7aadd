package firwheel.agent;

/**
 * Response body of an agent's {@code /status} endpoint.
 *
 * @param role always {@code agent}
 * @param availabilityZone availability zone of the host
 * @param row name of the target's table row
 * @param rank rank of the target in its row
 * @param revision revision of the active table
 * @param inFlight number of running attempts
 * @param draining whether the agent is shutting down
 */
public record AgentStatus(
        String role, String availabilityZone, String row, int rank, long revision, int inFlight, boolean draining) {}
