package firwheel.agent;

import firwheel.wire.LinkSecurity;
import firwheel.wire.LinkTls;
import firwheel.wire.SharedKey;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an agent. {@link #toString} omits the shared key and the TLS settings.
 *
 * @param ip IP address to listen on
 * @param port TCP port for links; 0 selects a free port
 * @param adminPort HTTP port for metrics, health and status; 0 selects a free port
 * @param availabilityZone availability zone of the host
 * @param row name of the table row that the target belongs to
 * @param rank rank of the target in its row
 * @param targetIp IP address of the engine or service
 * @param targetPort HTTP port of the engine or service
 * @param platformUrl URL of the platform, such as {@code http://127.0.0.1:8090}
 * @param peers link addresses of the entries to connect to at startup, as {@code ip:port}
 * @param sharedKey secret that authenticates links
 * @param tls certificates and key for mutual TLS on links, or null for plain TCP
 * @param drainLimitMillis maximum time that shutdown waits for running attempts
 */
public record AgentSettings(
        String ip,
        int port,
        int adminPort,
        String availabilityZone,
        String row,
        int rank,
        String targetIp,
        int targetPort,
        String platformUrl,
        List<String> peers,
        String sharedKey,
        @Nullable LinkTls tls,
        long drainLimitMillis) {
    public AgentSettings {
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(sharedKey, "sharedKey");
        peers = List.copyOf(peers);
    }

    /** Returns the authentication and encryption settings of the agent's links. */
    public LinkSecurity linkSecurity() {
        return new LinkSecurity(new SharedKey(sharedKey), tls);
    }

    @Override
    public String toString() {
        return "AgentSettings[row=" + row + ", rank=" + rank + ", endpoint=" + ip + ":" + port + "]";
    }
}
