package firwheel.proxy.targets;

import firwheel.model.EventCode;
import firwheel.model.Events;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All registered targets, by service. Not thread-safe: confined to the event loop that routes requests. */
public final class TargetDirectory {
    /** Is notified of targets that are listed and of those that must receive no new requests. */
    @FunctionalInterface
    public interface Listener {
        /** Called when an incarnation of a target drains, leaves, is removed or replaced, and is no longer listed. */
        void onRetired(Target target);

        /** Called when an incarnation of a target has registered. */
        default void onRegistered(Target target) {}
    }

    // Incarnations that leave are remembered after their registration is gone, since an old one may come back.
    private static final int MAX_REMEMBERED = 4_096;
    private static final Logger logger = LoggerFactory.getLogger(TargetDirectory.class);

    private final Map<String, Target> byId = new LinkedHashMap<>();
    private final Set<String> inDoubt = new HashSet<>();
    private final Set<Target.Key> leaving = newBoundedSet();
    private final Set<Target.Key> replaced = newBoundedSet();
    private final AddressClaims claims = new AddressClaims();
    private Map<String, List<Target>> servingByService = Map.of();
    private final Listener listener;

    /** Creates an empty directory. */
    public TargetDirectory(Listener listener) {
        this.listener = listener;
    }

    static Set<Target.Key> newBoundedSet() {
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
        boolean claimed = claims.isUnconfirmed(target.key());
        byId.values().forEach(other -> claims.onRegistered(target, other));
        if (!claimed && claims.isUnconfirmed(target.key())) {
            logClaim(target, "registered", Set.of());
        }
        endDoubt(target.instanceId());
        Target previous = byId.put(target.instanceId(), target);
        rebuildIndex();
        if (previous != null && (target.draining() || !previous.key().equals(target.key()))) {
            listener.onRetired(previous);
        }
        if (previous == null || !previous.key().equals(target.key())) {
            listener.onRegistered(target);
        }
    }

    /** Returns whether {@code target} keeps an earlier one at its address out of use, without having responded yet. */
    public boolean hasUnconfirmedClaim(Target target) {
        return claims.isUnconfirmed(target.key());
    }

    /** Records that {@code target} has responded, so that an earlier process at its address has ended. */
    public void onPresent(Target target) {
        if (claims.isUnconfirmed(target.key())) {
            replaced.addAll(claims.end(target.key()));
        }
    }

    /**
     * Ends the claim of {@code target} to its address, because another process responds there or because the earlier
     * one is still registered; returns the targets that are in use again.
     */
    public Set<Target.Key> onClaimRefuted(Target target, String reason) {
        if (!claims.isUnconfirmed(target.key())) {
            return Set.of();
        }
        Set<Target.Key> reinstated = claims.end(target.key());
        reinstated.removeIf(key -> !isRegistered(key));
        rebuildIndex();
        if (!reinstated.isEmpty()) {
            logClaim(target, reason, reinstated);
        }
        return reinstated;
    }

    private boolean isRegistered(Target.Key key) {
        Target registered = byId.get(key.instanceId());
        return registered != null && registered.key().equals(key);
    }

    private static void logClaim(Target target, String outcome, Set<Target.Key> reinstated) {
        Events.log(
                logger,
                EventCode.TARGET_CLAIM,
                "target",
                target.instanceId(),
                "startedMillis",
                target.startedMillis(),
                "address",
                target.ip() + ":" + target.port(),
                "outcome",
                outcome,
                "reinstated",
                reinstated);
    }

    /**
     * Records that the registration of a target is gone, but may have expired although the target runs. Until it
     * registers again or is removed, it gets requests only if no other target has a free slot.
     */
    public void putInDoubt(String instanceId) {
        if (byId.containsKey(instanceId)) {
            inDoubt.add(instanceId);
        }
    }

    /** Records that a target in doubt has registered again. */
    public void endDoubt(String instanceId) {
        inDoubt.remove(instanceId);
    }

    /** Returns whether it is uncertain that a target is still registered. */
    public boolean isInDoubt(Target target) {
        return inDoubt.contains(target.instanceId());
    }

    /** Removes a target; unknown identifiers are ignored. */
    public void remove(String instanceId) {
        endDoubt(instanceId);
        Target previous = byId.remove(instanceId);
        if (previous != null) {
            rebuildIndex();
            listener.onRetired(previous);
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
            listener.onRetired(registered);
        }
        return true;
    }

    /** Returns whether an incarnation of a target has said, in any way, that it leaves. */
    public boolean isLeaving(Target.Key key) {
        return leaving.contains(key);
    }

    /** Returns whether a registered target accepts new requests. */
    private boolean accepts(Target target) {
        return !target.draining() && !leaving.contains(target.key()) && !isDisplaced(target);
    }

    private boolean isDisplaced(Target target) {
        return replaced.contains(target.key()) || claims.isDisplaced(target.key());
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
            if (target.port() == port && target.ip().equals(ip) && !isDisplaced(target)) {
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
