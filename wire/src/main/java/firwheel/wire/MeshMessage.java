package firwheel.wire;

import java.util.List;

/** Datagrams between the processes of one deployment. Each stands alone, since any may be lost. */
public sealed interface MeshMessage extends Message {
    /**
     * One process as others know it.
     *
     * @param ip IP number, at which it also listens for datagrams
     * @param availabilityZone zone of its host
     * @param role what the process does
     * @param incarnation Unix millisecond of its start; a later start replaces an earlier one
     * @param heartbeatSequence number that rises with each beat of the process
     */
    record Member(String ip, String availabilityZone, String role, long incarnation, long heartbeatSequence) {}

    /**
     * Sign of life, with what the sender knows.
     *
     * @param self the sender
     * @param configRevision store revision of the configuration in force at the sender
     * @param registryRevision store revision of the last change of the target registry that the sender knows
     * @param others some of the processes that the sender believes alive
     */
    record Heartbeat(Member self, long configRevision, long registryRevision, List<Member> others)
            implements MeshMessage {}

    /**
     * Load of a target.
     *
     * @param ip IP number of the target
     * @param port port of the target
     * @param startedMillis Unix time of its start
     * @param outstandingRequests requests that it computes or queues
     * @param slowdown its time for a unit of work relative to its usual one
     */
    record TargetLoad(String ip, int port, long startedMillis, int outstandingRequests, double slowdown) {}

    /**
     * Loads of the targets of one group, read on their own hosts at about the same time.
     *
     * @param group name of the group
     * @param stepping whether the group computes; otherwise a rank is missing
     * @param targets the ranks that could be read
     * @param unreachable ranks that could not be read by any way
     */
    record GroupLoad(String group, boolean stepping, List<TargetLoad> targets, List<TargetAddress> unreachable)
            implements MeshMessage {}

    /** IP number and port of a target. */
    record TargetAddress(String ip, int port) {}
}
