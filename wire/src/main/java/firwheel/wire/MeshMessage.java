package firwheel.wire;

import java.util.ArrayList;
import java.util.List;

/** Datagrams between the processes of one deployment. Any datagram may be lost, so none depends on another. */
public sealed interface MeshMessage extends Message {
    /**
     * One process, as known to its peers.
     *
     * @param ip IP address, on which the process also receives datagrams
     * @param availabilityZone availability zone of its host
     * @param role role of the process, such as {@code entry}
     * @param incarnation start time in Unix milliseconds; a later incarnation replaces an earlier one
     * @param heartbeatSequence number that the process increments with each heartbeat
     */
    record Member(String ip, String availabilityZone, String role, long incarnation, long heartbeatSequence) {}

    /**
     * Heartbeat, with the state and processes known to the sender.
     *
     * @param self identity of the sender
     * @param configVersion version of the configuration in force at the sender, or -1
     * @param registryPosition position in the store of the latest change to the target registry known to the sender,
     *     or -1
     * @param others sample of the processes that the sender considers alive
     */
    record Heartbeat(Member self, long configVersion, long registryPosition, List<Member> others)
            implements MeshMessage {}

    /**
     * Load of a target.
     *
     * @param ip IP address of the target
     * @param port port of the target
     * @param startedMillis start time of the target in Unix milliseconds
     * @param outstandingRequests number of running and queued requests
     * @param slowdown time that a unit of work takes, divided by the time that it takes at the target's nominal speed
     */
    record TargetLoad(String ip, int port, long startedMillis, int outstandingRequests, double slowdown) {}

    /**
     * Loads of the targets of one group, each read on the target's own host, all at about the same time.
     *
     * @param group name of the group
     * @param epoch epoch of the group, incremented each time it is formed
     * @param stepping whether the group is running steps; false if a rank is missing
     * @param missingRanks number of ranks that could not be read
     * @param targets loads of the ranks that could be read
     * @param unreachable ranks that could not be read over any path
     */
    record GroupLoad(
            String group,
            long epoch,
            boolean stepping,
            int missingRanks,
            List<TargetLoad> targets,
            List<TargetAddress> unreachable)
            implements MeshMessage {
        private static final int MAX_TARGETS_PER_PART = 24; // keeps a part within one packet

        /** Splits the loads of a large group into messages that each fit into one datagram. */
        public List<GroupLoad> parts() {
            List<GroupLoad> parts = new ArrayList<>();
            int count = Math.max(targets.size(), unreachable.size());
            for (int from = 0; from == 0 || from < count; from += MAX_TARGETS_PER_PART) {
                parts.add(new GroupLoad(
                        group, epoch, stepping, missingRanks, part(targets, from), part(unreachable, from)));
            }
            return parts;
        }

        private static <T> List<T> part(List<T> items, int from) {
            return items.subList(Math.min(from, items.size()), Math.min(from + MAX_TARGETS_PER_PART, items.size()));
        }
    }

    /**
     * What a target newly stated of itself in a response to the sender.
     *
     * @param ip IP address of the target
     * @param port port of the target
     * @param startedMillis start time of the target in Unix milliseconds
     * @param leaving whether the target leaves; if not, the statement is about the limit
     * @param requestsPerSecond rate that the target takes from all entries together, or negative if it states none
     */
    record TargetStatement(String ip, int port, long startedMillis, boolean leaving, double requestsPerSecond)
            implements MeshMessage {}

    /**
     * Evidence that a target crashed while it ran a request.
     *
     * @param request fingerprint of the request, in hexadecimal
     * @param instanceId identifier of the target
     * @param startedMillis start time of the target in Unix milliseconds
     * @param cleared whether the request has been answered by a target since
     * @param seenMillisAgo time since the request was last seen at an entry
     * @param crashMillisAgo time since the crash was observed; 0 from older versions
     */
    record CrashReport(
            String request,
            String instanceId,
            long startedMillis,
            boolean cleared,
            long seenMillisAgo,
            long crashMillisAgo) {}

    /** Some of the evidence that the sender has of requests that crash their targets. */
    record CrashReports(List<CrashReport> reports) implements MeshMessage {
        /** Reports that fit into one datagram with identifiers of the longest length allowed. */
        public static final int MAX_REPORTS = 6;
    }

    /**
     * Evidence that a target crashed as it began to respond to a request with a part of a prompt.
     *
     * @param service service to which the request was sent
     * @param part identifier of the part
     * @param request fingerprint of the request, in hexadecimal
     * @param instanceId identifier of the target
     * @param startedMillis start time of the target in Unix milliseconds
     * @param familiar whether a target is known to have ever responded to a request with the part
     * @param cleared whether a target has responded to a request with the part since
     * @param seenMillisAgo time since the part was last seen at an entry
     * @param crashMillisAgo time since the crash was observed; 0 from older versions
     */
    record PartReport(
            String service,
            String part,
            String request,
            String instanceId,
            long startedMillis,
            boolean familiar,
            boolean cleared,
            long seenMillisAgo,
            long crashMillisAgo) {}

    /** Some of the evidence that the sender has of parts of prompts that crash targets. */
    record PartReports(List<PartReport> reports) implements MeshMessage {
        /** Reports that fit into one datagram with identifiers of the longest length allowed. */
        public static final int MAX_REPORTS = 4;
    }

    /**
     * Answer of the store to the sender, with the state that the sender has read from it.
     *
     * @param ip IP address of the process that read the store; the datagram may be forwarded by another one
     * @param incarnation start time of that process in Unix milliseconds
     * @param sequence number that the process increments with each answer; the same number announces no further answer
     * @param era era of the store
     * @param configRevision revision up to which the process knows all changes of the configuration
     * @param registryRevision revision up to which it knows all changes of the target registry
     * @param configVersion version of its configuration, or -1
     * @param registryPosition position of the latest change of the registry
     * @param removalDelayMillis time for which removals from the registry are still deferred
     * @param fromPosition position after which {@code changes} holds all changes of the registry
     * @param changes changes of the registry; empty if there are none or they do not fit into a datagram
     * @param lastDeferredPosition position up to which removals are deferred, or 0 if it is not known
     * @param storeUpMillis time for which the store has answered the process without an outage in which registrations
     *     expire; 0 from older versions
     * @param unanswered whether the store does not answer the sender, so that the message announces no answer and the
     *     receivers should read the store themselves; false from older versions
     */
    record StoreNews(
            String ip,
            long incarnation,
            long sequence,
            long era,
            long configRevision,
            long registryRevision,
            long configVersion,
            long registryPosition,
            long removalDelayMillis,
            long fromPosition,
            List<RowChange> changes,
            long lastDeferredPosition,
            long storeUpMillis,
            boolean unanswered)
            implements MeshMessage {}

    /**
     * Change of one row of the target registry.
     *
     * @param key key of the row
     * @param value value, or empty if the row was removed
     * @param revision revision of the change
     */
    @SuppressWarnings("ArrayRecordComponent") // not modified after creation
    record RowChange(String key, byte[] value, long revision) {}

    /**
     * Message that the receiver forwards to the other processes of a role in its own availability zone.
     *
     * @param role role of the processes that the message is for
     * @param frame encoded message
     */
    @SuppressWarnings("ArrayRecordComponent") // not modified after encoding
    record ZoneRelay(String role, byte[] frame) implements MeshMessage {}

    /** IP address and port of a target. */
    record TargetAddress(String ip, int port) {}
}
