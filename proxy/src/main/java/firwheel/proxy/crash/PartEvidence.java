package firwheel.proxy.crash;

import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The crashes that one part of a prompt is suspected of. */
final class PartEvidence {
    private static final int MAX_CRASHES = 8;
    private static final int MAX_REQUESTS_PER_CRASH = 4;
    private static final int UNKNOWN = -1; // computed when it is needed

    private final Map<Target.Key, Crash> crashes = new LinkedHashMap<>();
    private boolean familiar;
    private long lastSeenNanos;
    private long lastCrashNanos;
    private int strength = UNKNOWN;
    private int nextReport;

    private static final class Crash extends SuspectedCrash {
        private final Set<RequestFingerprint> requests = new LinkedHashSet<>();

        Crash(long observedNanos) {
            super(observedNanos);
        }
    }

    PartEvidence(boolean familiar, long lastSeenNanos) {
        this.familiar = familiar;
        this.lastSeenNanos = lastSeenNanos;
    }

    /** Merges a report; returns whether it changed what is held against the part. */
    boolean merge(PartReport report, long nowNanos) {
        recordSeen(nowNanos - report.lastSeenAge().toNanos());
        boolean newlyFamiliar = report.familiar() && !familiar;
        familiar |= report.familiar();
        Crash crash = crashes.get(report.target());
        if (crash == null) {
            if (crashes.size() == MAX_CRASHES && !removeClearedCrash()) {
                return newlyFamiliar;
            }
            crash = new Crash(nowNanos - report.crashAge().toNanos());
            crashes.put(report.target(), crash);
            if (!report.cleared()) {
                lastCrashNanos = nowNanos;
            }
        }
        boolean newRequest = crash.requests.size() < MAX_REQUESTS_PER_CRASH && crash.requests.add(report.request());
        crash.observe(nowNanos - report.crashAge().toNanos());
        boolean newlyCleared = report.cleared() && crash.clear();
        strength = UNKNOWN;
        return newlyFamiliar || newlyCleared || (newRequest && !crash.isCleared());
    }

    /** Removes the crashes that their targets have survived; returns these targets. */
    Set<Target.Key> removeSurvived(SurvivalCheck survival, long nowNanos) {
        Set<Target.Key> survivors = crashes.entrySet().stream()
                .filter(entry -> !entry.getValue().isCleared()
                        && survival.hasSurvived(entry.getKey(), entry.getValue().age(nowNanos)))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        crashes.keySet().removeAll(survivors);
        strength = UNKNOWN;
        return survivors;
    }

    /** Returns whether no crash is known, cleared or not. */
    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Removes the oldest crash that the part was cleared of; returns false if there is none. */
    private boolean removeClearedCrash() {
        return crashes.values().stream()
                .filter(SuspectedCrash::isCleared)
                .findFirst()
                .map(crash -> crashes.values().remove(crash))
                .orElse(false);
    }

    /** Clears the part of all crashes; returns whether any was held against it. */
    boolean clear(long nowNanos) {
        if (!isSuspected()) {
            return false;
        }
        crashes.values().forEach(SuspectedCrash::clear);
        familiar = true;
        lastSeenNanos = nowNanos;
        strength = UNKNOWN;
        return true;
    }

    void recordSeen(long seenNanos) {
        lastSeenNanos = Math.max(lastSeenNanos, seenNanos);
    }

    /** Returns whether a crash is held against the part. */
    boolean isSuspected() {
        return crashes.values().stream().anyMatch(crash -> !crash.isCleared());
    }

    /** Returns the crashes that are held against the part, by the targets that crashed. */
    List<Target.Key> suspectedCrashes() {
        return crashes.entrySet().stream()
                .filter(entry -> !entry.getValue().isCleared())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether a target is known to have ever responded to a request with the part. */
    boolean isFamiliar() {
        return familiar;
    }

    long lastSeenNanos() {
        return lastSeenNanos;
    }

    /** Returns the time of the last crash or trial. */
    long lastCrashNanos() {
        return lastCrashNanos;
    }

    void recordTrial(long nowNanos) {
        lastCrashNanos = nowNanos;
    }

    /**
     * Returns the number of different requests that the crashes are attributed to, each crash to the one of its requests
     * that was at most crashes. A request that was retried or sent again counts once, also beside others.
     */
    int strength() {
        if (strength == UNKNOWN) {
            strength = computeStrength();
        }
        return strength;
    }

    private int computeStrength() {
        List<Crash> suspected =
                crashes.values().stream().filter(crash -> !crash.isCleared()).toList();
        Map<RequestFingerprint, Integer> crashesByRequest = new HashMap<>();
        suspected.forEach(crash -> crash.requests.forEach(request -> crashesByRequest.merge(request, 1, Integer::sum)));
        Comparator<RequestFingerprint> mostCrashes = Comparator.<RequestFingerprint>comparingInt(
                        request -> crashesByRequest.getOrDefault(request, 0))
                .thenComparing(RequestFingerprint::value);
        return (int) suspected.stream()
                .map(crash -> crash.requests.stream().max(mostCrashes).orElseThrow())
                .distinct()
                .count();
    }

    /** Returns one of the reports, another one each time. */
    PartReport nextReport(PromptPart part, long nowNanos) {
        List<PartReport> reports = reports(part, nowNanos);
        return reports.get(Math.floorMod(nextReport++, reports.size()));
    }

    /** Returns reports that bring another entry to the same knowledge. */
    List<PartReport> reports(PromptPart part, long nowNanos) {
        Duration age = Duration.ofNanos(nowNanos - lastSeenNanos);
        return crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().requests.stream()
                        .limit(entry.getValue().isCleared() ? 1 : MAX_REQUESTS_PER_CRASH) // one clears the crash
                        .map(request -> new PartReport(
                                part,
                                entry.getKey(),
                                request,
                                familiar,
                                entry.getValue().isCleared(),
                                age,
                                entry.getValue().age(nowNanos))))
                .toList();
    }
}
