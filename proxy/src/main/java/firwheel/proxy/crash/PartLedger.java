package firwheel.proxy.crash;

import static java.util.stream.Collectors.toCollection;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Crashes of targets as they began to respond to requests that share parts of their prompts, merged from all entries,
 * and the decision which requests to refuse. Merging needs no order. Not thread-safe; performs no I/O.
 *
 * <p>Each part of each request that waited for its response at a crashed target is suspected, and cleared as soon as a
 * target responds to any request with it. The strength of the evidence against a part is the number of different
 * requests that its crashes are attributed to: a request that is retried, or comes again, counts once.
 *
 * <p>A crash is attributed to the parts with the strongest evidence of those suspected of it, and among these to the ones
 * that no target is known to have ever responded to, if there are any. The others are familiar. A request that has all
 * parts that a crash is attributed to has the cause, whichever of them it is, and is refused if that evidence is of two
 * requests, or of three if all of them are familiar. Requests with some of them are sent, which clears the sound parts.
 */
public final class PartLedger {
    /** What is known of the parts of a request. */
    public enum Verdict {
        /** No target is known to have crashed under its parts since they were last responded to. */
        UNSUSPECTED,
        /** A target has crashed as it began to respond to a request with one of its parts. */
        SUSPECTED,
        /** It must not be sent to a target. */
        REFUSED
    }

    private static final int DECISIVE_STRENGTH = 2;
    private static final int DECISIVE_STRENGTH_IF_FAMILIAR = 3;
    private static final List<Duration> TRIAL_DELAYS =
            List.of(Duration.ofSeconds(30), Duration.ofMinutes(5)); // by crashes since the refusal; none after more
    private static final Duration RETENTION = Duration.ofHours(1); // since the part was last seen
    private static final Duration CLEARED_RETENTION =
            Duration.ofMinutes(1); // outlasts reports of peers that did not hear of the response
    private static final int MAX_PARTS = 1_024;
    private static final int MAX_CRASHES_PER_PART = 8;
    private static final int MAX_REQUESTS_PER_CRASH = 4;
    private static final int UNKNOWN = -1; // computed when it is needed

    private final TimeSource time;
    private final Map<PromptPart, Evidence> evidence = new LinkedHashMap<>();
    private final RecentParts responded = new RecentParts();
    private @Nullable Map<Set<PromptPart>, Culprit> culprits;
    private int nextReport;

    /** One crash that a part is suspected of. */
    private static final class Crash {
        private final Set<RequestFingerprint> requests = new LinkedHashSet<>();
        private boolean cleared;
    }

    private static final class Evidence {
        private final Map<Target.Key, Crash> crashes = new LinkedHashMap<>();
        private boolean familiar;
        private long lastSeenNanos;
        private long lastCrashNanos;
        private int strength = UNKNOWN;

        /** Removes the oldest crash that the part was cleared of; returns false if there is none. */
        boolean removeClearedCrash() {
            return crashes.values().stream()
                    .filter(crash -> crash.cleared)
                    .findFirst()
                    .map(crash -> crashes.values().remove(crash))
                    .orElse(false);
        }

        boolean counts(Target.Key target) {
            Crash crash = crashes.get(target);
            return crash != null && !crash.cleared;
        }

        List<Crash> counted() {
            return crashes.values().stream().filter(crash -> !crash.cleared).toList();
        }

        /** Returns the number of different requests that the crashes are attributed to. */
        int strength() {
            if (strength == UNKNOWN) {
                strength = computeStrength();
            }
            return strength;
        }

        private int computeStrength() {
            List<Crash> counted = counted();
            Map<RequestFingerprint, Integer> crashesByRequest = new HashMap<>();
            counted.forEach(
                    crash -> crash.requests.forEach(request -> crashesByRequest.merge(request, 1, Integer::sum)));
            Comparator<RequestFingerprint> mostCrashes = Comparator.<RequestFingerprint>comparingInt(
                            request -> crashesByRequest.getOrDefault(request, 0))
                    .thenComparing(RequestFingerprint::value);
            return (int) counted.stream()
                    .map(crash -> crash.requests.stream().max(mostCrashes).orElseThrow())
                    .distinct()
                    .count();
        }
    }

    /**
     * Parts to which crashes are attributed together.
     *
     * @param strengthAboveDecisive strength of the evidence beyond that for which requests are refused
     * @param targets targets that crashed
     */
    private record Culprit(int strengthAboveDecisive, Set<Target.Key> targets) {
        @Nullable
        Duration trialDelay() {
            return strengthAboveDecisive < TRIAL_DELAYS.size() ? TRIAL_DELAYS.get(strengthAboveDecisive) : null;
        }
    }

    /** Creates an empty ledger. */
    public PartLedger(TimeSource time) {
        this.time = time;
    }

    /** Returns whether nothing is known of any part. */
    public boolean isEmpty() {
        return evidence.isEmpty();
    }

    /** Returns the number of parts with evidence. */
    public int size() {
        return evidence.size();
    }

    /** Returns the number of crashes that the part is suspected of. */
    public int crashes(PromptPart part) {
        Evidence known = evidence.get(part);
        return known == null ? 0 : known.counted().size();
    }

    /** Returns whether a target is known to have ever responded to a request with a suspected part. */
    public boolean isFamiliar(PromptPart part) {
        Evidence known = evidence.get(part);
        return known != null && known.familiar;
    }

    /** Returns the number of different requests that the crashes of the part are attributed to. */
    public int strength(PromptPart part) {
        Evidence known = evidence.get(part);
        return known == null ? 0 : known.strength();
    }

    /** Records that a target crashed as it began to respond to a request; returns what was not known. */
    public List<PartReport> recordCrash(Suspect suspect, Target.Key target) {
        return suspect.parts().stream()
                .map(part ->
                        new PartReport(part, target, suspect.request(), responded.contains(part), false, Duration.ZERO))
                .filter(this::merge)
                .toList();
    }

    /** Merges a report of this or another entry; returns whether it changed anything. */
    public boolean merge(PartReport report) {
        if (report.lastSeenAge().compareTo(RETENTION) > 0) {
            return false;
        }
        long now = time.monotonicNanos();
        long seenNanos = now - report.lastSeenAge().toNanos();
        Evidence known = evidence.get(report.part());
        if (known == null) {
            makeRoom();
            known = new Evidence();
            known.lastSeenNanos = seenNanos;
            known.familiar = responded.contains(report.part());
            evidence.put(report.part(), known);
        }
        known.lastSeenNanos = Math.max(known.lastSeenNanos, seenNanos);
        Crash crash = known.crashes.get(report.target());
        if (crash == null) {
            if (known.crashes.size() == MAX_CRASHES_PER_PART && !known.removeClearedCrash()) {
                return false;
            }
            crash = new Crash();
            known.crashes.put(report.target(), crash);
            if (!report.cleared()) {
                known.lastCrashNanos = now;
            }
        }
        boolean newRequest = crash.requests.size() < MAX_REQUESTS_PER_CRASH && crash.requests.add(report.request());
        boolean newlyCleared = report.cleared() && !crash.cleared;
        boolean newlyFamiliar = report.familiar() && !known.familiar;
        crash.cleared |= report.cleared();
        known.familiar |= report.familiar();
        if (newRequest || newlyCleared || newlyFamiliar) {
            onChanged(known);
        }
        return newlyCleared || (newRequest && !crash.cleared);
    }

    /** Records that a target responded to a request with these parts; returns the reports that clear them. */
    public List<PartReport> clear(Collection<PromptPart> parts) {
        responded.addAll(parts);
        List<PartReport> clearing = new ArrayList<>();
        for (PromptPart part : parts) {
            Evidence known = evidence.get(part);
            if (known != null && !known.counted().isEmpty()) {
                known.counted().forEach(crash -> crash.cleared = true);
                known.familiar = true;
                known.lastSeenNanos = time.monotonicNanos();
                clearing.addAll(reports(part, known));
                onChanged(known);
            }
        }
        return clearing;
    }

    /** Records that a request with these parts has arrived, which keeps what is known of them. */
    public void recordSeen(Collection<PromptPart> parts) {
        for (PromptPart part : parts) {
            Evidence known = evidence.get(part);
            if (known != null && !known.counted().isEmpty()) {
                known.lastSeenNanos = time.monotonicNanos();
            }
        }
    }

    /** Returns what is known of a request with these parts. */
    public Verdict judge(Set<PromptPart> parts) {
        if (parts.stream().noneMatch(part -> crashes(part) > 0)) {
            return Verdict.UNSUSPECTED;
        }
        return cause(parts).isEmpty() ? Verdict.SUSPECTED : Verdict.REFUSED;
    }

    /** Returns the parts for which a request is refused; empty if it is not. */
    public Set<PromptPart> cause(Set<PromptPart> parts) {
        return culprits().keySet().stream()
                .filter(parts::containsAll)
                .findFirst()
                .orElse(Set.of());
    }

    /** Returns all sets of parts for which requests are refused. */
    public Set<Set<PromptPart>> refusals() {
        return Set.copyOf(culprits().keySet());
    }

    /** Returns whether requests are refused for a part that the crash of a target is attributed to. */
    public boolean explains(Target.Key target) {
        return culprits().values().stream()
                .anyMatch(culprit -> culprit.targets().contains(target));
    }

    /** Returns whether a refused request may be sent once to find out whether targets still crash under its parts. */
    public boolean tryBeginTrial(Set<PromptPart> cause) {
        Culprit culprit = culprits().get(cause);
        Duration delay = culprit == null ? null : culprit.trialDelay();
        long now = time.monotonicNanos();
        long lastCrashNanos = cause.stream()
                .map(evidence::get)
                .mapToLong(known -> known == null ? now : known.lastCrashNanos)
                .max()
                .orElse(now);
        if (delay == null || now - lastCrashNanos < delay.toNanos()) {
            return false;
        }
        // The next trial is due only after another delay, whatever comes of this one.
        cause.stream().map(evidence::get).forEach(known -> known.lastCrashNanos = now);
        return true;
    }

    /** Removes parts that were not seen for a time; returns those that were still suspected. */
    public List<PromptPart> removeExpired() {
        long now = time.monotonicNanos();
        List<PromptPart> expired = new ArrayList<>();
        boolean removed = evidence.entrySet().removeIf(entry -> {
            boolean suspected = !entry.getValue().counted().isEmpty();
            Duration retention = suspected ? RETENTION : CLEARED_RETENTION;
            boolean remove = now - entry.getValue().lastSeenNanos > retention.toNanos();
            if (remove && suspected) {
                expired.add(entry.getKey());
            }
            return remove;
        });
        if (removed) {
            culprits = null;
        }
        return expired;
    }

    /** Returns up to {@code max} reports to repeat to a peer, other ones each time, those of the strongest first. */
    public List<PartReport> nextReports(int max) {
        List<PartReport> strong = new ArrayList<>();
        List<PartReport> others = new ArrayList<>();
        evidence.forEach((part, known) ->
                (known.strength() >= DECISIVE_STRENGTH ? strong : others).addAll(reports(part, known)));
        List<PartReport> result = new ArrayList<>();
        addRotating(result, strong, max);
        addRotating(result, others, max);
        nextReport += max;
        return result;
    }

    private void addRotating(List<PartReport> result, List<PartReport> reports, int max) {
        int count = Math.min(max - result.size(), reports.size());
        for (int i = 0; i < count; i++) {
            result.add(reports.get(Math.floorMod(nextReport + i, reports.size())));
        }
    }

    private List<PartReport> reports(PromptPart part, Evidence known) {
        Duration age = Duration.ofNanos(time.monotonicNanos() - known.lastSeenNanos);
        return known.crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().requests.stream()
                        .limit(entry.getValue().cleared ? 1 : MAX_REQUESTS_PER_CRASH) // one clears the crash
                        .map(request -> new PartReport(
                                part, entry.getKey(), request, known.familiar, entry.getValue().cleared, age)))
                .toList();
    }

    /** Returns the sets of parts that requests are refused for; computed again after each change of the evidence. */
    private Map<Set<PromptPart>, Culprit> culprits() {
        Map<Set<PromptPart>, Culprit> known = culprits;
        if (known == null) {
            known = findCulprits();
            culprits = known;
        }
        return known;
    }

    private Map<Set<PromptPart>, Culprit> findCulprits() {
        Map<PromptPart, Integer> strengths = new LinkedHashMap<>();
        evidence.forEach((part, known) -> strengths.put(part, known.strength()));
        Map<Set<PromptPart>, Culprit> found = new LinkedHashMap<>();
        Set<Target.Key> targets = new HashSet<>();
        strengths.forEach((part, strength) -> {
            if (strength >= DECISIVE_STRENGTH) {
                targets.addAll(countedTargets(part));
            }
        });
        for (Target.Key target : targets) {
            Set<PromptPart> suspects = likeliestSuspects(target, strengths);
            PromptPart first = suspects.iterator().next();
            int decisive = isFamiliar(first) ? DECISIVE_STRENGTH_IF_FAMILIAR : DECISIVE_STRENGTH;
            int strength = strengths.getOrDefault(first, 0);
            if (strength >= decisive) {
                found.computeIfAbsent(suspects, parts -> new Culprit(strength - decisive, new HashSet<>()))
                        .targets()
                        .add(target);
            }
        }
        return found;
    }

    /** Returns the strongest suspects of a crash, without the familiar ones unless all are. */
    private Set<PromptPart> likeliestSuspects(Target.Key target, Map<PromptPart, Integer> strengths) {
        Set<PromptPart> strongest = strongestSuspects(target, strengths);
        Set<PromptPart> unfamiliar =
                strongest.stream().filter(part -> !isFamiliar(part)).collect(toCollection(LinkedHashSet::new));
        return unfamiliar.isEmpty() ? strongest : unfamiliar;
    }

    private Set<Target.Key> countedTargets(PromptPart part) {
        Evidence known = evidence.get(part);
        return known == null
                ? Set.of()
                : known.crashes.keySet().stream().filter(known::counts).collect(toCollection(LinkedHashSet::new));
    }

    private Set<PromptPart> strongestSuspects(Target.Key target, Map<PromptPart, Integer> strengths) {
        Set<PromptPart> strongest = new LinkedHashSet<>();
        int best = 0;
        for (Map.Entry<PromptPart, Evidence> entry : evidence.entrySet()) {
            int strength = strengths.getOrDefault(entry.getKey(), 0);
            if (!entry.getValue().counts(target) || strength < best) {
                continue;
            }
            if (strength > best) {
                strongest.clear();
                best = strength;
            }
            strongest.add(entry.getKey());
        }
        return strongest;
    }

    private void onChanged(Evidence changed) {
        changed.strength = UNKNOWN;
        culprits = null;
    }

    /** Removes the part with the weakest evidence, of those the one not seen for the longest time. */
    private void makeRoom() {
        if (evidence.size() < MAX_PARTS) {
            return;
        }
        PromptPart weakest = evidence.entrySet().stream()
                .min(Comparator.<Map.Entry<PromptPart, Evidence>>comparingInt(
                                entry -> entry.getValue().strength())
                        .thenComparingLong(entry -> entry.getValue().lastSeenNanos))
                .map(Map.Entry::getKey)
                .orElseThrow();
        evidence.remove(weakest);
        culprits = null;
    }
}
