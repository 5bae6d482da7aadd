package firwheel.proxy.targets;

/**
 * A process that runs requests of one service, as it registered itself.
 *
 * @param instanceId name of this process; a process that takes over its address has another
 * @param startedMillis Unix time of its start; tells a restarted process that kept its name
 * @param service service that it belongs to
 * @param ip IP number
 * @param port port
 * @param availabilityZone zone that it runs in
 * @param slots requests that it computes at once
 * @param draining whether it is leaving and must get no new work
 * @param group its place in a model group, or null
 */
public record Target(
        String instanceId,
        long startedMillis,
        String service,
        String ip,
        int port,
        String availabilityZone,
        int slots,
        boolean draining,
        @org.jspecify.annotations.Nullable GroupMembership group) {
    /** Identifies one life of a target. */
    public record Key(String instanceId, long startedMillis) {}

    /** Returns what identifies this life of the target. */
    public Key key() {
        return new Key(instanceId, startedMillis);
    }
}
