package firwheel.proxy.targets;

/**
 * A process that executes requests of one service, as it registered itself.
 *
 * @param instanceId identifier of the process; a process that takes over its address has a different one
 * @param startedMillis start time in Unix milliseconds; distinguishes a restarted process that kept its identifier
 * @param service name of its service
 * @param ip IP address
 * @param port TCP port
 * @param availabilityZone zone that it runs in
 * @param slots requests that it processes concurrently
 * @param draining whether it is shutting down and must receive no new requests
 * @param group its membership in a model group, or null
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
    /** Identifies one incarnation of a target. */
    public record Key(String instanceId, long startedMillis) {}

    /** Returns the key of this incarnation. */
    public Key key() {
        return new Key(instanceId, startedMillis);
    }
}
