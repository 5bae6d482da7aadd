package firwheel.proxy.targets;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** All registered targets, by service. Not thread-safe: confined to the event loop that routes requests. */
public final class TargetDirectory {
    /** Is notified of targets that must receive no new requests. */
    @FunctionalInterface
    public interface RetirementListener {
        /** Called when an incarnation of a target drains, leaves, is removed or replaced, and is no longer listed. */
        void onRetired(Target target);
    }

    // Incarnations that leave are remembered after their registration is gone, since an old one may come back.
    private static final int MAX_REMEMBERED = 4_096;

    private final Map<String, Target> byId = new LinkedHashMap<>();
    private final Set<Target.Key> leaving = newBoundedSet();
    private final Set<Target.Key> replaced = newBoundedSet();
    private Map<String, List<Target>> servingByService = Map.of();
    private final RetirementListener retirementListener;

    /** Creates an empty directory. */
    public TargetDirectory(RetirementListener retirementListener) {
        this.retirementListener = retirementListener;
    }

    private static Set<Target.Key> newBoundedSet() {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Target.Key, Boolean> eldest) {
                return size() > MAX_REMEMBERED;
            }
        });
    }

    /**
     * Adds a target or replaces its previous registration. An incarnation that was registered as draining leaves, even
     * if a delayed or restored registration says otherwise later.
     */
    public void put(Target target) {
        if (target.draining()) {
            leaving.add(target.key());
        }
        byId.values().stream()
                .filter(other -> isEarlierAtSameAddress(other, target))
                .forEach(other -> {
                    replaced.add(other.key());
                });
        Target previous = byId.put(target.instanceId(), target);
        rebuildIndex();
        if (previous != null && (target.draining() || !previous.key().equals(target.key()))) {
            retirementListener.onRetired(previous);
        }
    }

    /**
     * Returns whether {@code other} has ended because {@code target} started later at its address; its registration
     * lapses seconds later. Start times are those of one host, whose clock may have been set back, in which case both
     * stay in use.
     */
    private static boolean isEarlierAtSameAddress(Target other, Target target) {
        return other.port() == target.port()
                && other.ip().equals(target.ip())
                && !other.instanceId().equals(target.instanceId())
                && other.startedMillis() > 0
                && other.startedMillis() < target.startedMillis();
    }

    /** Removes a target; unknown identifiers are ignored. */
    public void remove(String instanceId) {
        Target previous = byId.remove(instanceId);
        if (previous != null) {
            rebuildIndex();
            retirementListener.onRetired(previous);
        }
    }

    /**
     * Records that an incarnation of a target leaves, which is final: it gets no new requests, whatever its
     * registration says. Returns whether this was not known.
     */
    public boolean markLeaving(Target.Key key) {
        if (!leaving.add(key)) {
            return false;
        }
        Target registered = byId.get(key.instanceId());
        if (registered != null && registered.key().equals(key)) {
            rebuildIndex();
            retirementListener.onRetired(registered);
        }
        return true;
    }

    /** Returns whether an incarnation of a target has said, in any way, that it leaves. */
    public boolean isLeaving(Target.Key key) {
        return leaving.contains(key);
    }

    /** Returns whether a registered target accepts new requests. */
    private boolean accepts(Target target) {
        return !target.draining() && !leaving.contains(target.key()) && !replaced.contains(target.key());
    }

    /** Returns the targets of a service that accept new requests. */
    public List<Target> serving(String service) {
        return servingByService.getOrDefault(service, List.of());
    }

    /** Returns the target with the given identifier, or null. */
    public @Nullable Target find(String instanceId) {
        return byId.get(instanceId);
    }

    /** Returns the target at an address, or null. */
    public @Nullable Target findByAddress(String ip, int port) {
        for (Target target : byId.values()) {
            if (target.port() == port && target.ip().equals(ip) && !replaced.contains(target.key())) {
                return target;
            }
        }
        return null;
    }

    /** Returns whether this incarnation of a target accepts new requests. */
    public boolean isServing(Target target) {
        Target current = byId.get(target.instanceId());
        return current != null && accepts(current) && current.key().equals(target.key());
    }

    /** Returns all registered targets, including draining ones. */
    public Collection<Target> all() {
        return byId.values();
    }

    private void rebuildIndex() {
        Map<String, List<Target>> rebuilt = new HashMap<>();
        for (Target target : byId.values()) {
            if (accepts(target)) {
                rebuilt.computeIfAbsent(target.service(), service -> new ArrayList<>())
                        .add(target);
            }
        }
        servingByService = rebuilt;
    }
}
