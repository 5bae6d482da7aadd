package firwheel.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts. The list may lag behind the actual state. */
public interface HostList {
    /** Reads the hosts that the platform considers running or leaving. */
    CompletableFuture<List<HostEntry>> hosts();

    /**
     * One entry of the host list.
     *
     * @param ip IP address
     * @param availabilityZone zone of the host
     * @param role role of the process on the host, {@code entry} or {@code agent}
     * @param leaving whether the platform is about to remove the host
     */
    record HostEntry(String ip, String availabilityZone, String role, boolean leaving) {}
}
