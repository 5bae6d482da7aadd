package firwheel.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts. It lags behind what is true. */
public interface HostList {
    /** Reads the hosts that the platform believes live or leaving. */
    CompletableFuture<List<HostEntry>> hosts();

    /**
     * One host of the list.
     *
     * @param ip IP number
     * @param availabilityZone zone of the host
     * @param role role that it runs, {@code entry} or {@code agent}
     * @param leaving whether the platform is about to take it away
     */
    record HostEntry(String ip, String availabilityZone, String role, boolean leaving) {}
}
