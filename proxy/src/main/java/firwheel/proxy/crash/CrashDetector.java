package firwheel.proxy.crash;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds the requests that a target was running when it crashed. A lost response alone may have another cause, such as a
 * reset of connections, and so may the end of a target; both together are evidence, in either order. A response that this
 * entry gave up is evidence only if the end of the target is proven. Not thread-safe.
 */
public final class CrashDetector {
    /** How the end of a target is known, the weakest first. */
    public enum End {
        /** It is no longer registered; it may still run. */
        UNLISTED,
        /** It has ended just now: it refuses connections, or another entry reported its crash. */
        OBSERVED,
        /** It ended some time ago: a later incarnation has registered. */
        RESTARTED
    }

    private static final Duration RETENTION =
            Duration.ofSeconds(10); // a registration expires or is renewed within some heartbeats
    private static final Duration ABANDONED_RUN =
            Duration.ofSeconds(1); // a target may go on for some steps after the connection was closed
    private static final int MAX_TARGETS = 256;
    private static final int MAX_REQUESTS_PER_TARGET = 64;

    private final TimeSource time;
    private final BiConsumer<Suspect, Target.Key> onCrash;
    private final Map<Target.Key, Incidents> incidents = new LinkedHashMap<>();

    private static final class Incidents {
        private final Set<Suspect> lost = new LinkedHashSet<>();
        private final Map<Suspect, Long> abandonedNanos = new LinkedHashMap<>();
        private @Nullable End end;
        private long updatedNanos;

        boolean endIsProven() {
            return end != null && end != End.UNLISTED;
        }
    }

    /** Creates a detector that reports each request and the target that crashed while running it. */
    public CrashDetector(TimeSource time, BiConsumer<Suspect, Target.Key> onCrash) {
        this.time = time;
        this.onCrash = onCrash;
    }

    /** Records that the connection to the target ended before its response to the request was complete. */
    public void onResponseLost(Suspect request, Target.Key target) {
        Incidents known = at(target);
        if (known.end != null) {
            onCrash.accept(request, target);
        } else if (known.lost.size() < MAX_REQUESTS_PER_TARGET) {
            known.lost.add(request);
        }
    }

    /** Records that this entry no longer waits for the target's response to the request. */
    public void onResponseAbandoned(Suspect request, Target.Key target) {
        Incidents known = at(target);
        if (known.endIsProven()) {
            onCrash.accept(request, target);
        } else if (known.abandonedNanos.size() < MAX_REQUESTS_PER_TARGET) {
            known.abandonedNanos.put(request, time.monotonicNanos());
        }
    }

    /** Records that a target accepts connections, so that responses lost before had another cause than its end. */
    public void onTargetListening(Target.Key target) {
        Incidents known = incidents.get(target);
        if (known != null) {
            known.lost.clear();
        }
    }

    /** Records that a target which was taken for ended has not, so that its end explains no response lost since. */
    public void onTargetSurvived(Target.Key target) {
        incidents.remove(target);
    }

    /** Records that a target which did not leave has ended. */
    public void onTargetEnded(Target.Key target, End end) {
        Incidents known = at(target);
        if (known.end == null || known.end.compareTo(end) < 0) {
            known.end = end;
        }
        Set<Suspect> crashing = new LinkedHashSet<>(known.lost);
        known.lost.clear();
        if (end == End.RESTARTED) {
            crashing.addAll(known.abandonedNanos.keySet());
        } else if (end == End.OBSERVED) {
            long sinceNanos = time.monotonicNanos() - ABANDONED_RUN.toNanos();
            known.abandonedNanos.forEach((request, abandonedNanos) -> {
                if (abandonedNanos >= sinceNanos) {
                    crashing.add(request);
                }
            });
        }
        known.abandonedNanos.keySet().removeAll(crashing);
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
