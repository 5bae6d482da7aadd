package firwheel.model;

import java.util.Objects;

/**
 * Address of the agent on the host of one rank of a group, or of one replica of a service.
 *
 * @param rank position in the group, from 0
 * @param ip IP address of the target's host
 * @param port TCP port of the agent
 */
public record RankAddress(int rank, String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public RankAddress {
        Objects.requireNonNull(ip, "ip");
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative: " + rank);
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be 1 to 65535: " + port);
        }
    }

    /** Returns {@code ip:port}. */
    public String endpoint() {
        return ip + ":" + port;
    }
}
