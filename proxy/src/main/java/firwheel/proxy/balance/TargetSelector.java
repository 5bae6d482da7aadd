package firwheel.proxy.balance;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.config.EngineConfig;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects a target for each request by water-filling. All entries receive the same load reports, so if each chose the
 * least loaded target, all would choose the same one until the next report. Instead, the requests that all entries are
 * expected to send until then are spread over the free capacity: a target is drawn with a probability proportional to
 * the difference between its load and the level to which these requests would fill all targets. Recent failures and
 * high latency count as load.
 */
public final class TargetSelector {
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1_500); // six missed reports
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(300); // time between two load reports
    private static final double OTHER_ZONE_PENALTY_REQUESTS =
            0.3; // below one request, so that balance takes precedence over locality
    private static final double FAILURE_PENALTY_REQUESTS = 12; // a target that fails half its requests is selected last
    private static final double FULL_PENALTY_REQUESTS = 6; // a target with all slots taken makes a request wait for one
    private static final Duration RECENT_RESPONSE_WINDOW =
            Duration.ofMillis(800); // several token generation passes of a slow group
    private static final Duration RATE_WINDOW =
            Duration.ofSeconds(4); // long enough to contain some requests of one entry

    private static final Logger logger = LoggerFactory.getLogger(TargetSelector.class);

    private final TargetDirectory directory;
    private final String localZone;
    private final TimeSource time;
    private final DoubleSupplier random;
    private final Map<Target.Key, TargetLoad> loads = new HashMap<>();
    private final GroupStates groups;
    private final Map<String, ArrayDeque<Long>> recentSelections = new HashMap<>();
    private final StatedLimits limits;
    private final Map<String, FillLimit> fillLimits = new HashMap<>();
    private int entryCount = 1;

    /** Creates a selector; {@code random} draws uniformly between 0 and 1. */
    public TargetSelector(TargetDirectory directory, String localZone, TimeSource time, DoubleSupplier random) {
        this.directory = directory;
        this.localZone = localZone;
        this.time = time;
        this.random = random;
        limits = new StatedLimits(time, random);
        groups = new GroupStates(time);
    }

    /** Returns the request limits that targets state. */
    public StatedLimits limits() {
        return limits;
    }

    /** Sets the number of entries that send to the same targets. */
    public void setEntryCount(int entryCount) {
        this.entryCount = Math.max(1, entryCount);
        limits.setEntryCount(entryCount);
    }

    /** Returns what is known of the model groups. */
    public GroupStates groups() {
        return groups;
    }

    /** Returns the load record of a target. */
    public TargetLoad load(Target target) {
        return loads.computeIfAbsent(target.key(), key -> new TargetLoad());
    }

    /**
     * Removes the load records of targets that no longer exist. A registration may lapse and return, so what a target
     * asked for is kept until it ends.
     */
    public void removeRetired() {
        long now = time.monotonicNanos();
        loads.entrySet()
                .removeIf(entry -> isRetired(entry.getKey())
                        && entry.getValue().inFlight() == 0
                        && !entry.getValue().hasSuspect()
                        && !entry.getValue().isDeclined(now));
        limits.removeRetired(this::isRetired);
    }

    private boolean isRetired(Target.Key key) {
        Target current = directory.find(key.instanceId());
        return current == null || !current.key().equals(key);
    }

    /**
     * Returns whether a request may be sent to the target now, and counts it against the target's limit. Asked last
     * before a request is written, as the target may have changed since it was selected.
     */
    public boolean tryBegin(Target target) {
        return directory.isServing(target)
                && !load(target).isDeclined(time.monotonicNanos())
                && limits.tryTake(target.key());
    }

    /**
     * Returns why no target of {@code service} can be selected: all that serve are full or limited, or none serves. A
     * full target is not selected, because a queue that formed in a short shortage would never drain at a load near the
     * capacity, and would delay all later requests.
     */
    public RetryAfterPolicy.Reason shortage(String service) {
        return findAvailable(service, Set.of(), time.monotonicNanos()).isEmpty()
                ? RetryAfterPolicy.Reason.NO_TARGET_AVAILABLE
                : RetryAfterPolicy.Reason.TARGETS_FULL;
    }

    /** Returns whether a target of {@code service} can take a request. */
    public boolean hasPlace(String service) {
        return hasCandidate(service, Set.of());
    }

    /** Returns whether targets of {@code service} are ranks of groups of which none is open. */
    public boolean hasClosedGroup(String service) {
        List<Target> serving = directory.serving(service);
        return serving.stream().anyMatch(target -> target.group() != null)
                && serving.stream().noneMatch(this::isServing);
    }

    /** Returns the time in which a group of {@code service} is expected to open, or null if none is forming. */
    public @Nullable Duration timeToOpen(String service) {
        Duration shortest = null;
        for (Target target : directory.serving(service)) {
            GroupMembership group = target.group();
            Duration left = group == null ? null : groups.timeToOpen(group);
            shortest = left != null && (shortest == null || left.compareTo(shortest) < 0) ? left : shortest;
        }
        return shortest;
    }

    /** Returns whether a target of {@code service} that is not in {@code tried} can be selected. */
    public boolean hasCandidate(String service, Set<Target.Key> tried) {
        return !findCandidates(service, tried, time.monotonicNanos()).isEmpty();
    }

    /**
     * Returns whether bytes were recently received from a target of {@code service} other than {@code stalled}. If not,
     * the targets are waiting for each other, as the ranks of a group do, and a retry at another target would not help.
     */
    public boolean otherTargetsResponding(String service, Target stalled) {
        long now = time.monotonicNanos();
        return directory.serving(service).stream()
                .anyMatch(target -> !target.key().equals(stalled.key())
                        && load(target).receivedWithin(now, RECENT_RESPONSE_WINDOW));
    }

    /** Selects a target of {@code service} that is not in {@code tried}, or returns null if none is available. */
    public @Nullable Target select(String service, Set<Target.Key> tried) {
        long now = time.monotonicNanos();
        List<Target> candidates = findCandidates(service, tried, now);
        if (candidates.isEmpty()) {
            return null;
        }
        double[] effectiveLoads = computeEffectiveLoads(candidates, now);
        double expectedRequests = 1 + expectedFromOtherEntries(service, now);
        return candidates.get(selectIndex(effectiveLoads, waterLevel(effectiveLoads, expectedRequests)));
    }

    /**
     * Selects a target for a request that may crash it: one without another such request if there is one, so that a
     * crash shows which of them caused it.
     */
    public @Nullable Target selectForSuspect(String service, Set<Target.Key> tried) {
        Set<Target.Key> excluded = new HashSet<>(tried);
        for (Target target : directory.serving(service)) {
            if (load(target).hasSuspect()) {
                excluded.add(target.key());
            }
        }
        Target unshared = select(service, excluded);
        return unshared == null ? select(service, tried) : unshared;
    }

    private List<Target> findCandidates(String service, Set<Target.Key> tried, long now) {
        List<Target> candidates = findAvailable(service, tried, now);
        candidates.removeIf(target ->
                load(target).isFull(now, MAX_REPORT_AGE, usableSlots(target)) || !limits.allows(target.key()));
        Predicate<Target> lastResort =
                target -> directory.isInDoubt(target) || load(target).isAvoided(now);
        if (candidates.stream().anyMatch(target -> !lastResort.test(target) && isFree(target, now))) {
            candidates.removeIf(lastResort);
        }
        return candidates;
    }

    /** Returns whether a slot of a target is free by its report or, without one, if all entries send alike. */
    private boolean isFree(Target target, long now) {
        return load(target).expectedRequests(now, MAX_REPORT_AGE, entryCount) < target.slots();
    }

    private int usableSlots(Target target) {
        FillLimit limit = fillLimits.get(target.service());
        return limit == null || target.group() == null ? target.slots() : limit.slots(target.slots());
    }

    /** Records a pause between two events of a stream of {@code service}. */
    public void onPause(String service, Duration pause, Duration objective) {
        fillLimits.computeIfAbsent(service, name -> new FillLimit()).onPause(pause, objective);
    }

    /** Adapts the fill of the ranks of {@code service} to the pauses in its streams; called at regular intervals. */
    public void updateFillLimit(String service, EngineConfig engine) {
        FillLimit limit = fillLimits.get(service);
        if (limit == null) {
            return;
        }
        int slotsBefore = limit.slots(engine.slots());
        double currentFill = fill(service);
        limit.update(engine, currentFill);
        if (limit.slots(engine.slots()) != slotsBefore) {
            Events.log(
                    logger,
                    EventCode.FILL_LIMIT,
                    "service",
                    service,
                    "slots",
                    limit.slots(engine.slots()),
                    "slotsBefore",
                    slotsBefore,
                    "fillLimit",
                    limit.fill(),
                    "fill",
                    currentFill);
        }
    }

    /** Returns the mean share of slots in use at the targets of {@code service} whose load is known. */
    private double fill(String service) {
        long now = time.monotonicNanos();
        return directory.serving(service).stream()
                .mapToDouble(target -> Math.min(
                        1, load(target).estimatedRequests(now, MAX_REPORT_AGE) / (double) Math.max(1, target.slots())))
                .average()
                .orElse(0);
    }

    /**
     * Returns whether a target lets requests wait because all its places are taken, so that its silence does not show
     * that it is lost.
     */
    public boolean letsRequestsWait(Target target) {
        return load(target).isFull(time.monotonicNanos(), MAX_REPORT_AGE, target.slots());
    }

    private List<Target> findAvailable(String service, Set<Target.Key> tried, long now) {
        List<Target> candidates = new ArrayList<>();
        for (Target target : directory.serving(service)) {
            if (isServing(target)
                    && !tried.contains(target.key())
                    && load(target).isAvailable(now)) {
                candidates.add(target);
            }
        }
        return candidates;
    }

    private boolean isServing(Target target) {
        GroupMembership group = target.group();
        return group == null || groups.isOpen(group);
    }

    private double[] computeEffectiveLoads(List<Target> targets, long now) {
        double meanLatency = targets.stream()
                .mapToDouble(target -> load(target).latencyMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(1);
        double[] effectiveLoads = new double[targets.size()];
        for (int i = 0; i < effectiveLoads.length; i++) {
            effectiveLoads[i] = computeEffectiveLoad(targets.get(i), now, meanLatency);
        }
        return effectiveLoads;
    }

    private double computeEffectiveLoad(Target target, long now, double meanLatency) {
        TargetLoad load = load(target);
        double latency = load.latencyMillis() == 0 ? meanLatency : load.latencyMillis();
        double slowness = Math.max(load.slowdown(now, MAX_REPORT_AGE), latency / meanLatency);
        int requests = load.estimatedRequests(now, MAX_REPORT_AGE);
        return requests * slowness
                + (slowness - 1)
                + (requests >= target.slots() ? FULL_PENALTY_REQUESTS : 0)
                + FAILURE_PENALTY_REQUESTS * load.failureRate(now)
                + (target.availabilityZone().equals(localZone) ? 0 : OTHER_ZONE_PENALTY_REQUESTS);
    }

    /**
     * Records a selection and returns the number of requests that the other entries are expected to send until the next
     * report, assuming that they send at the same rate as this one.
     */
    private double expectedFromOtherEntries(String service, long now) {
        ArrayDeque<Long> recent = recentSelections.computeIfAbsent(service, name -> new ArrayDeque<>());
        while (!recent.isEmpty() && now - recent.peekFirst() > RATE_WINDOW.toNanos()) {
            recent.removeFirst();
        }
        recent.addLast(now);
        double perInterval = recent.size() * (double) REPORT_INTERVAL.toNanos() / RATE_WINDOW.toNanos();
        return perInterval * (entryCount - 1);
    }

    /** Returns the load level that is reached when {@code requests} are added to the least loaded targets first. */
    static double waterLevel(double[] effectiveLoads, double requests) {
        double[] sorted = effectiveLoads.clone();
        Arrays.sort(sorted);
        double sum = 0;
        for (int filled = 1; filled <= sorted.length; filled++) {
            sum += sorted[filled - 1];
            double level = (requests + sum) / filled;
            if (filled == sorted.length || level <= sorted[filled]) {
                return level;
            }
        }
        throw new IllegalArgumentException("no targets");
    }

    private int selectIndex(double[] effectiveLoads, double waterLevel) {
        double total = 0;
        for (double effectiveLoad : effectiveLoads) {
            total += Math.max(0, waterLevel - effectiveLoad);
        }
        double remaining = random.getAsDouble() * total;
        int lowest = 0;
        for (int i = 0; i < effectiveLoads.length; i++) {
            remaining -= Math.max(0, waterLevel - effectiveLoads[i]);
            if (remaining < 0) {
                return i;
            }
            lowest = effectiveLoads[i] < effectiveLoads[lowest] ? i : lowest;
        }
        return lowest;
    }
}
