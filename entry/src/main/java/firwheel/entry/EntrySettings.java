package firwheel.entry;

import firwheel.wire.LinkSecurity;
import firwheel.wire.LinkTls;
import firwheel.wire.SharedKey;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one entry. The text form shows no secret.
 *
 * @param ip IP number to listen on
 * @param port HTTP port for callers; 0 picks a free one
 * @param linkPort TCP port for links from other entries, the same on all; 0 takes none
 * @param adminPort HTTP port for metrics, health and status; 0 picks a free one
 * @param availabilityZone zone of the host
 * @param platformUrl address of the platform, such as {@code http://127.0.0.1:8090}
 * @param peers link addresses of other entries to start from, as {@code ip:port}
 * @param sharedKey secret that authenticates links
 * @param tls material for mutual TLS on links, or null for plain TCP
 * @param maxBodyBytes largest request body
 * @param bodyTimeoutMillis longest time that a caller may take to send a request's head, and then its body
 * @param idleTimeoutMillis longest time that a connection may stay open between requests
 * @param drainLimitMillis longest time that shutdown waits for running requests
 */
public record EntrySettings(
        String ip,
        int port,
        int linkPort,
        int adminPort,
        String availabilityZone,
        String platformUrl,
        List<String> peers,
        String sharedKey,
        @Nullable LinkTls tls,
        int maxBodyBytes,
        long bodyTimeoutMillis,
        long idleTimeoutMillis,
        long drainLimitMillis) {
    public EntrySettings {
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(platformUrl, "platformUrl");
        Objects.requireNonNull(sharedKey, "sharedKey");
        peers = List.copyOf(peers);
    }

    /** Returns what protects the links of the entry. */
    public LinkSecurity linkSecurity() {
        return new LinkSecurity(new SharedKey(sharedKey), tls);
    }

    @Override
    public String toString() {
        return "EntrySettings[endpoint=" + ip + ":" + port + ", availabilityZone=" + availabilityZone + "]";
    }
}
