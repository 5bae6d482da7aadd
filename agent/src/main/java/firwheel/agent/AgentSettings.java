package firwheel.agent;

import firwheel.wire.LinkSecurity;
import firwheel.wire.LinkTls;
import firwheel.wire.SharedKey;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one agent. The text form shows no secret.
 *
 * @param ip IP number to listen on
 * @param port TCP port for links; 0 picks a free one
 * @param adminPort HTTP port for metrics, health and status; 0 picks a free one
 * @param availabilityZone zone of the host
 * @param row name of the row that the target belongs to
 * @param rank rank of the target in its row
 * @param targetIp IP number of the engine or service
 * @param targetPort HTTP port of the engine or service
 * @param platformUrl address of the platform, such as {@code http://127.0.0.1:8090}
 * @param peers link addresses of entries to start from, as {@code ip:port}
 * @param sharedKey secret that authenticates links
 * @param tls material for mutual TLS on links, or null for plain TCP
 * @param drainLimitMillis longest time that shutdown waits for running work
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

    /** Returns what protects the links of the agent. */
    public LinkSecurity linkSecurity() {
        return new LinkSecurity(new SharedKey(sharedKey), tls);
    }

    @Override
    public String toString() {
        return "AgentSettings[row=" + row + ", rank=" + rank + ", endpoint=" + ip + ":" + port + "]";
    }
}
