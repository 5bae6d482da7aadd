package firwheel.proxy.crash;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Crashes of targets under each request, merged from all entries, and the decision which requests to refuse. Merging
 * needs no order: a crash is known by the incarnation that crashed, and once it is cleared it stays so. Not
 * thread-safe; performs no I/O.
 *
 * <p>Each request that a crashed target was running is suspected, most of them without cause. A crash that a request
 * shares with one that has crashed more targets is therefore attributed to that one. A request is refused
 *
 * <ul>
 *   <li>after two crashes, if at one of them no other request had crashed two targets,
 *   <li>after three, if at least one of them is attributed to it,
 *   <li>after four in any case.
 * </ul>
 *
 * Crashes with another known cause do not count, nor those that their targets survived. A complete response clears a
 * request. One that is refused gets another chance after a time, until it has crashed four targets.
 */
public final class CrashLedger {
    /** What is known of a request. */
    public enum Verdict {
        /** No target is known to have crashed under it since its last complete response. */
        UNSUSPECTED,
        /** A target has crashed under it. */
        SUSPECTED,
        /** It must not be sent to a target. */
        REFUSED
    }

    private static final int DECISIVE_CRASHES = 4;
    private static final Map<Integer, Duration> TRIAL_DELAYS =
            Map.of(2, Duration.ofSeconds(30), 3, Duration.ofMinutes(5)); // by crashes; none after more
    private static final Duration RETENTION = Duration.ofHours(1); // since the request was last seen
    private static final Duration CLEARED_RETENTION =
            Duration.ofMinutes(1); // outlasts reports of peers that did not hear of the response
    private static final int MAX_REQUESTS = 1_024;
    private static final int MAX_CRASHES_PER_REQUEST = 8;

    private final TimeSource time;
    private final Predicate<Target.Key> explained;
    private final Map<RequestFingerprint, Evidence> evidence = new LinkedHashMap<>();
    private final RepeatSchedule repeats = new RepeatSchedule();

    private final class Evidence {
        private final Map<Target.Key, SuspectedCrash> crashes = new LinkedHashMap<>();

        private long lastSeenNanos;
        private long lastCrashNanos;

        int count() {
            return (int) crashes.keySet().stream().filter(this::counts).count();
        }

        boolean counts(Target.Key target) {
            SuspectedCrash crash = crashes.get(target);
            return crash != null && !crash.isCleared() && !explained.test(target);
        }
    }

    /** Creates an empty ledger. */
    public CrashLedger(TimeSource time) {
        this(time, target -> false);
    }

    /**
     * Creates an empty ledger.
     *
     * @param explained whether the crash of a target has a known cause that is not a single request
     */
    public CrashLedger(TimeSource time, Predicate<Target.Key> explained) {
        this.time = time;
        this.explained = explained;
    }

    /** Returns whether nothing is known of any request, so that no fingerprint needs to be computed. */
    public boolean isEmpty() {
        return evidence.isEmpty();
    }

    /** Returns the number of requests with evidence. */
    public int size() {
        return evidence.size();
    }

    /** Returns the number of targets that have crashed under a request since its last complete response. */
    public int crashes(RequestFingerprint request) {
        Evidence known = evidence.get(request);
        return known == null ? 0 : known.count();
    }

    /** Records that a target crashed while running a request; returns whether this was not known. */
    public boolean recordCrash(RequestFingerprint request, Target.Key target) {
        return merge(new CrashReport(request, target, false, Duration.ZERO, Duration.ZERO));
    }

    /** Merges a report of this or another entry; returns whether it changed anything. */
    public boolean merge(CrashReport report) {
        if (report.lastSeenAge().compareTo(RETENTION) > 0) {
            return false;
        }
        Evidence known = evidence.get(report.request());
        long now = time.monotonicNanos();
        if (known == null) {
            makeRoom();
            known = new Evidence();
            known.lastSeenNanos = now - report.lastSeenAge().toNanos();
            evidence.put(report.request(), known);
        }
        known.lastSeenNanos =
                Math.max(known.lastSeenNanos, now - report.lastSeenAge().toNanos());
        SuspectedCrash crash = known.crashes.get(report.target());
        long observedNanos = now - report.crashAge().toNanos();
        if (crash != null) {
            crash.observe(observedNanos);
            return report.cleared() && crash.clear();
        }
        if (known.crashes.size() == MAX_CRASHES_PER_REQUEST) {
            return false;
        }
        crash = new SuspectedCrash(observedNanos);
        known.crashes.put(report.target(), crash);
        if (report.cleared()) {
            crash.clear();
        } else {
            known.lastCrashNanos = now;
        }
        return true;
    }

    /** Removes the crashes that their targets have survived; returns these targets. */
    public Set<Target.Key> removeSurvived(SurvivalCheck survival) {
        long now = time.monotonicNanos();
        Set<Target.Key> survivors = new LinkedHashSet<>();
        evidence.values().removeIf(known -> {
            known.crashes.entrySet().removeIf(crash -> {
                boolean survived = !crash.getValue().isCleared()
                        && survival.hasSurvived(crash.getKey(), crash.getValue().age(now));
                if (survived) {
                    survivors.add(crash.getKey());
                }
                return survived;
            });
            return known.crashes.isEmpty();
        });
        return survivors;
    }

    /** Records that a target responded completely to a request; returns the reports that clear it, empty if none. */
    public List<CrashReport> clear(RequestFingerprint request) {
        Evidence known = evidence.get(request);
        if (known == null || known.count() == 0) {
            return List.of();
        }
        known.crashes.values().forEach(SuspectedCrash::clear);
        known.lastSeenNanos = time.monotonicNanos();
        return reports(request, known);
    }

    /** Records that a request has arrived, which keeps what is known of it. */
    public void recordSeen(RequestFingerprint request) {
        Evidence known = evidence.get(request);
        if (known != null && known.count() > 0) {
            known.lastSeenNanos = time.monotonicNanos();
        }
    }

    /** Returns what is known of a request. */
    public Verdict judge(RequestFingerprint request) {
        Evidence known = evidence.get(request);
        if (known == null || known.count() == 0) {
            return Verdict.UNSUSPECTED;
        }
        return isRefused(request, known) ? Verdict.REFUSED : Verdict.SUSPECTED;
    }

    private boolean isRefused(RequestFingerprint request, Evidence known) {
        int count = known.count();
        if (count >= DECISIVE_CRASHES) {
            return true;
        }
        if (count < 2) {
            return false;
        }
        int rivalCrashes = count == 2 ? 2 : count + 1;
        return known.crashes.keySet().stream()
                .filter(known::counts)
                .anyMatch(target -> !hasRival(request, target, rivalCrashes));
    }

    /** Returns whether another request with at least {@code minCrashes} was running at the crashed target. */
    private boolean hasRival(RequestFingerprint request, Target.Key target, int minCrashes) {
        return evidence.entrySet().stream()
                .anyMatch(other -> !other.getKey().equals(request)
                        && other.getValue().counts(target)
                        && other.getValue().count() >= minCrashes);
    }

    /** Returns whether a refused request may be sent once to find out whether targets still crash under it. */
    public boolean tryBeginTrial(RequestFingerprint request) {
        Evidence known = evidence.get(request);
        Duration delay = known == null ? null : TRIAL_DELAYS.get(known.count());
        long now = time.monotonicNanos();
        if (known == null || delay == null || now - known.lastCrashNanos < delay.toNanos()) {
            return false;
        }
        known.lastCrashNanos = now; // the next trial is due only after another delay, whatever comes of this one
        return true;
    }

    /** Removes requests that were not seen for a time; returns those that were still suspected. */
    public List<RequestFingerprint> removeExpired() {
        long now = time.monotonicNanos();
        List<RequestFingerprint> expired = new ArrayList<>();
        evidence.entrySet().removeIf(entry -> {
            boolean suspected = entry.getValue().count() > 0;
            Duration retention = suspected ? RETENTION : CLEARED_RETENTION;
            boolean remove = now - entry.getValue().lastSeenNanos > retention.toNanos();
            if (remove && suspected) {
                expired.add(entry.getKey());
            }
            return remove;
        });
        return expired;
    }

    /**
     * Returns up to {@code max} reports to repeat to a peer, other ones each time. Half of them are of requests with
     * several crashes, since these may be refused.
     */
    public List<CrashReport> nextReports(int max) {
        List<CrashReport> repeated = new ArrayList<>();
        List<CrashReport> others = new ArrayList<>();
        evidence.forEach((request, known) -> (known.count() > 1 ? repeated : others).addAll(reports(request, known)));
        return repeats.next(repeated, others, max);
    }

    private List<CrashReport> reports(RequestFingerprint request, Evidence known) {
        long now = time.monotonicNanos();
        Duration seenAge = Duration.ofNanos(now - known.lastSeenNanos);
        return known.crashes.entrySet().stream()
                .map(crash -> new CrashReport(
                        request,
                        crash.getKey(),
                        crash.getValue().isCleared(),
                        seenAge,
                        crash.getValue().age(now)))
                .toList();
    }

    /** Removes the request with the fewest crashes, of those the one not seen for the longest time. */
    private void makeRoom() {
        if (evidence.size() < MAX_REQUESTS) {
            return;
        }
        RequestFingerprint weakest = evidence.entrySet().stream()
                .min(Comparator.<Map.Entry<RequestFingerprint, Evidence>>comparingInt(
                                entry -> entry.getValue().count())
                        .thenComparingLong(entry -> entry.getValue().lastSeenNanos))
                .map(Map.Entry::getKey)
                .orElseThrow();
        evidence.remove(weakest);
    }
}
