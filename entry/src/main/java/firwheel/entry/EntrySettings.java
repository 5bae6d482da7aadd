package firwheel.entry;

import java.util.Objects;

/**
 * Settings of one entry.
 *
 * @param ip IP number to listen on
 * @param port HTTP port for callers; 0 picks a free one
 * @param adminPort HTTP port for metrics, health and status; 0 picks a free one
 * @param availabilityZone zone of the host
 * @param platformUrl address of the platform, such as {@code http://127.0.0.1:8090}
 * @param sharedKey secret that authenticates links
 * @param maxBodyBytes largest request body
 * @param bodyTimeoutMillis longest time that a caller may take to send its body
 * @param drainLimitMillis longest time that shutdown waits for running requests
 * @param linkPort TCP port for links from other entries, the same on all entries; 0 for none
 */
public record EntrySettings(
        String ip,
        int port,
        int adminPort,
        String availabilityZone,
        String platformUrl,
        String sharedKey,
        int maxBodyBytes,
        long bodyTimeoutMillis,
        long drainLimitMillis,
        int linkPort) {
    public EntrySettings {
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(sharedKey, "sharedKey");
    }

    @Override
    public String toString() {
        return "EntrySettings[endpoint=" + ip + ":" + port + ", availabilityZone=" + availabilityZone + "]";
    }
}
