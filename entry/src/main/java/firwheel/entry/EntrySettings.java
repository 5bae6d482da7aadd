package firwheel.entry;

import firwheel.wire.LinkSecurity;
import firwheel.wire.LinkTls;
import firwheel.wire.SharedKey;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an entry. {@link #toString} omits the shared key and the TLS settings.
 *
 * @param ip IP address to listen on
 * @param port HTTP port for callers; 0 selects a free port
 * @param linkPort TCP port for links from other entries, the same on all entries; 0 accepts no links
 * @param adminPort HTTP port for metrics, health and status; 0 selects a free port
 * @param availabilityZone availability zone of the host
 * @param platformUrl URL of the platform, such as {@code http://127.0.0.1:8090}
 * @param peers link addresses of other entries to connect to at startup, as {@code ip:port}
 * @param sharedKey secret that authenticates links
 * @param tls certificates and key for mutual TLS on links, or null for plain TCP
 * @param maxBodyBytes maximum size of a request body
 * @param bodyTimeoutMillis maximum time for the first request head on a connection, and for each request body
 * @param idleTimeoutMillis maximum time between a response and the complete head of the next request
 * @param drainLimitMillis maximum time that shutdown waits for open requests
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

    /** Returns the authentication and encryption settings of the entry's links. */
    public LinkSecurity linkSecurity() {
        return new LinkSecurity(new SharedKey(sharedKey), tls);
    }

    @Override
    public String toString() {
        return "EntrySettings[endpoint=" + ip + ":" + port + ", availabilityZone=" + availabilityZone + "]";
    }
}
