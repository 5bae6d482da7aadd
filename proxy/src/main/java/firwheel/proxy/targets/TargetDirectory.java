package firwheel.proxy.targets;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** All targets known to run, by service. Not thread-safe: it belongs to the event loop that routes. */
public final class TargetDirectory {
    /** Learns of targets that must get no new work. */
    @FunctionalInterface
    public interface DepartureListener {
        /** Called once for each life of a target that drains, ends or is replaced. */
        void departed(Target target);
    }

    private final Map<String, Target> byId = new LinkedHashMap<>();
    private Map<String, List<Target>> servingByService = Map.of();
    private final DepartureListener departures;

    /** Creates an empty directory. */
    public TargetDirectory(DepartureListener departures) {
        this.departures = departures;
    }

    /** Adds a target or replaces what was known of it. */
    public void put(Target target) {
        Target before = byId.put(target.instanceId(), target);
        if (before != null && (target.draining() || !before.key().equals(target.key()))) {
            departures.departed(before);
        }
        rebuild();
    }

    /** Forgets a target; unknown names are ignored. */
    public void remove(String instanceId) {
        Target before = byId.remove(instanceId);
        if (before != null) {
            departures.departed(before);
            rebuild();
        }
    }

    /** Returns the targets of a service that may get new work. */
    public List<Target> serving(String service) {
        return servingByService.getOrDefault(service, List.of());
    }

    /** Returns a target by name, or null. */
    public @Nullable Target find(String instanceId) {
        return byId.get(instanceId);
    }

    /** Returns the target at an address, or null. */
    public @Nullable Target findByAddress(String ip, int port) {
        for (Target target : byId.values()) {
            if (target.port() == port && target.ip().equals(ip)) {
                return target;
            }
        }
        return null;
    }

    /** Returns whether this life of a target may get new work. */
    public boolean isServing(Target target) {
        Target known = byId.get(target.instanceId());
        return known != null && !known.draining() && known.key().equals(target.key());
    }

    /** Returns all known targets, draining ones included. */
    public Collection<Target> all() {
        return byId.values();
    }

    private void rebuild() {
        Map<String, List<Target>> fresh = new HashMap<>();
        for (Target target : byId.values()) {
            if (!target.draining()) {
                fresh.computeIfAbsent(target.service(), service -> new ArrayList<>())
                        .add(target);
            }
        }
        servingByService = fresh;
    }
}
