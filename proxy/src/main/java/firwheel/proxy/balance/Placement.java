package firwheel.proxy.balance;

import firwheel.model.TimeSource;
import firwheel.proxy.target.Target;
import firwheel.proxy.target.TargetDirectory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of a request: the one with the least expected work per slot, weighed by its recent failures and
 * latency. Targets that are nearly as good share the requests at random, since all entries see the same reports and
 * would otherwise send to one target at the same moment.
 */
public final class Placement {
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1_500); // five reports of an agent missed
    private static final double SPREAD_REQUESTS = 0.75; // targets within it of the best are drawn at random
    private static final double OTHER_ZONE_REQUESTS = 0.4; // below one request: balance goes before distance
    private static final double FAILURE_REQUESTS = 12; // a target that fails half its requests is used last

    private final TargetDirectory directory;
    private final String ownZone;
    private final TimeSource time;
    private final DoubleSupplier random;
    private final Map<Target.Key, TargetLoad> loads = new HashMap<>();

    /** Creates a placement; {@code random} draws uniformly between 0 and 1. */
    public Placement(TargetDirectory directory, String ownZone, TimeSource time, DoubleSupplier random) {
        this.directory = directory;
        this.ownZone = ownZone;
        this.time = time;
        this.random = random;
    }

    /** Returns what is known of a target. */
    public TargetLoad load(Target target) {
        return loads.computeIfAbsent(target.key(), key -> new TargetLoad());
    }

    /** Forgets the loads of targets that are gone. */
    public void forgetDeparted() {
        loads.keySet().removeIf(key -> {
            Target known = directory.find(key.instanceId());
            return (known == null || !known.key().equals(key)) && loadIdle(key);
        });
    }

    /**
     * Chooses a target for a request of {@code service} that is not in {@code tried}, or returns null where none may get
     * work.
     */
    public @Nullable Target choose(String service, Set<Target.Key> tried) {
        long now = time.monotonicNanos();
        List<Target> usable = new ArrayList<>();
        for (Target target : directory.serving(service)) {
            boolean open = target.group() == null || target.group().open();
            if (open && !tried.contains(target.key()) && load(target).usable(now)) {
                usable.add(target);
            }
        }
        return usable.isEmpty() ? null : leastLoaded(usable, now);
    }

    private Target leastLoaded(List<Target> targets, long now) {
        double meanLatency = targets.stream()
                .mapToDouble(target -> load(target).latencyMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(1);
        double[] scores = new double[targets.size()];
        double best = Double.MAX_VALUE;
        for (int i = 0; i < scores.length; i++) {
            scores[i] = score(targets.get(i), now, meanLatency);
            best = Math.min(best, scores[i]);
        }
        List<Target> nearBest = new ArrayList<>();
        for (int i = 0; i < scores.length; i++) {
            if (scores[i] <= best + SPREAD_REQUESTS) {
                nearBest.add(targets.get(i));
            }
        }
        return nearBest.get((int) (random.getAsDouble() * nearBest.size()));
    }

    private double score(Target target, long now, double meanLatency) {
        TargetLoad load = load(target);
        double latency = load.latencyMillis() == 0 ? meanLatency : load.latencyMillis();
        double slowness = Math.max(1, latency / meanLatency);
        return (load.busy(now, MAX_REPORT_AGE) + 1) * slowness
                + FAILURE_REQUESTS * load.failureRate(now)
                + (target.availabilityZone().equals(ownZone) ? 0 : OTHER_ZONE_REQUESTS);
    }

    private boolean loadIdle(Target.Key key) {
        TargetLoad load = loads.get(key);
        return load == null || load.inFlight() == 0;
    }
}
