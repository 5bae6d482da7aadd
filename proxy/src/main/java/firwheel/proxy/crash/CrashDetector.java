package firwheel.proxy.crash;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Finds the requests that a target was running when it crashed. A lost response alone may have another cause, such as a
 * reset of connections, and so may the end of a target; both together are evidence, in either order. A response that
 * never came although the connection stayed open is evidence only if the target was started again. Not thread-safe.
 */
public final class CrashDetector {
    private static final Duration RETENTION =
            Duration.ofSeconds(10); // a registration expires or is renewed within some heartbeats
    private static final int MAX_TARGETS = 256;
    private static final int MAX_REQUESTS_PER_TARGET = 64;

    private final TimeSource time;
    private final BiConsumer<Suspect, Target.Key> onCrash;
    private final Map<Target.Key, Incidents> incidents = new LinkedHashMap<>();

    private static final class Incidents {
        private final Set<Suspect> lost = new LinkedHashSet<>();
        private final Set<Suspect> silent = new LinkedHashSet<>();
        private boolean ended;
        private boolean restarted;
        private long updatedNanos;
    }

    /** Creates a detector that reports each request and the target that crashed while running it. */
    public CrashDetector(TimeSource time, BiConsumer<Suspect, Target.Key> onCrash) {
        this.time = time;
        this.onCrash = onCrash;
    }

    /** Records that the connection to the target ended before its response to the request was complete. */
    public void onResponseLost(Suspect request, Target.Key target) {
        Incidents known = at(target);
        if (known.ended) {
            onCrash.accept(request, target);
        } else if (known.lost.size() < MAX_REQUESTS_PER_TARGET) {
            known.lost.add(request);
        }
    }

    /** Records that this entry gave up waiting for the target's response to the request. */
    public void onResponseAbandoned(Suspect request, Target.Key target) {
        Incidents known = at(target);
        if (known.restarted) {
            onCrash.accept(request, target);
        } else if (known.silent.size() < MAX_REQUESTS_PER_TARGET) {
            known.silent.add(request);
        }
    }

    /**
     * Records that a target which did not leave has ended.
     *
     * @param restarted whether a new incarnation of the target has registered, which proves the end
     */
    public void onTargetEnded(Target.Key target, boolean restarted) {
        Incidents known = at(target);
        known.ended = true;
        known.restarted |= restarted;
        Set<Suspect> crashing = new LinkedHashSet<>(known.lost);
        known.lost.clear();
        if (restarted) {
            crashing.addAll(known.silent);
            known.silent.clear();
        }
        crashing.forEach(request -> onCrash.accept(request, target));
    }

    private Incidents at(Target.Key target) {
        long now = time.monotonicNanos();
        incidents.values().removeIf(known -> now - known.updatedNanos > RETENTION.toNanos());
        Incidents known = incidents.remove(target);
        if (known == null) {
            known = new Incidents();
            if (incidents.size() == MAX_TARGETS) {
                incidents.remove(incidents.keySet().iterator().next());
            }
        }
        known.updatedNanos = now;
        incidents.put(target, known);
        return known;
    }
}
