package firwheel.bench.decisions;

import firwheel.bench.VirtualEventLoop;
import java.time.Duration;

/** Delays between zones, and a zone that is cut off from the others. */
final class EmulatedNetwork {
    static final Duration CLIENT_DELAY = Duration.ofMillis(1);
    private static final long IN_ZONE_NANOS = 200_000;
    private static final long BETWEEN_ZONES_NANOS = 1_400_000;

    private final VirtualEventLoop loop;
    private final int zones;
    private int cutZone = -1;

    EmulatedNetwork(VirtualEventLoop loop, int zones) {
        this.loop = loop;
        this.zones = zones;
    }

    int zoneOfRank(int rank) {
        return rank % zones;
    }

    int cutZone() {
        return cutZone;
    }

    void cut(int zone) {
        cutZone = zone;
    }

    void heal() {
        cutZone = -1;
    }

    boolean connected(int zone, int otherZone) {
        return zone == otherZone || (zone != cutZone && otherZone != cutZone);
    }

    long delayNanos(int zone, int otherZone) {
        return zone == otherZone ? IN_ZONE_NANOS : BETWEEN_ZONES_NANOS;
    }

    /** Delivers something from the rank of a request to the entry that sent it; lost if they are cut off. */
    void toEntry(EmulatedRequest request, Runnable delivery) {
        int rankZone = zoneOfRank(request.rank);
        loop.schedule(delayNanos(rankZone, request.entryZone), () -> {
            if (!request.cancelled() && connected(rankZone, request.entryZone)) {
                delivery.run();
            }
        });
    }
}
