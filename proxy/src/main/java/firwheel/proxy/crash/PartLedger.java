package firwheel.proxy.crash;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Crashes of targets as they began to respond to requests that share parts of their prompts, merged from all entries,
 * and the decision which requests to refuse. Merging needs no order. Not thread-safe; performs no I/O.
 *
 * <p>Each part of each request that waited for its response at a crashed target is suspected, and cleared as soon as a
 * target responds to any request with it, or as the target turns out to have survived. The strength of the evidence against a part is the number of different
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

    private static final List<Duration> TRIAL_DELAYS =
            List.of(Duration.ofSeconds(30), Duration.ofMinutes(5)); // by crashes since the refusal; none after more
    private static final Duration RETENTION = Duration.ofHours(1); // since the part was last seen
    private static final Duration CLEARED_RETENTION =
            Duration.ofMinutes(1); // outlasts reports of peers that did not hear of the response
    private static final int MAX_PARTS = 1_024;

    private final TimeSource time;
    private final Map<PromptPart, PartEvidence> evidence = new LinkedHashMap<>();
    private final RecentParts responded = new RecentParts();
    private @Nullable Map<Set<PromptPart>, CrashAttribution> attributions; // null after a change of the evidence
    private final RepeatSchedule repeats = new RepeatSchedule();

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
        PartEvidence known = evidence.get(part);
        return known == null ? 0 : known.suspectedCrashes().size();
    }

    /** Returns whether a target is known to have ever responded to a request with a suspected part. */
    public boolean isFamiliar(PromptPart part) {
        PartEvidence known = evidence.get(part);
        return known != null && known.isFamiliar();
    }

    /** Returns the number of different requests that the crashes of the part are attributed to. */
    public int strength(PromptPart part) {
        PartEvidence known = evidence.get(part);
        return known == null ? 0 : known.strength();
    }

    /** Records that a target crashed as it began to respond to a request; returns what was not known. */
    public List<PartReport> recordCrash(Suspect suspect, Target.Key target) {
        return suspect.parts().stream()
                .map(part -> new PartReport(
                        part, target, suspect.request(), responded.contains(part), false, Duration.ZERO, Duration.ZERO))
                .filter(this::merge)
                .toList();
    }

    /** Merges a report of this or another entry; returns whether it changed what is held against the part. */
    public boolean merge(PartReport report) {
        if (report.lastSeenAge().compareTo(RETENTION) > 0) {
            return false;
        }
        long now = time.monotonicNanos();
        PartEvidence known = evidence.get(report.part());
        if (known == null) {
            makeRoom();
            known = new PartEvidence(
                    responded.contains(report.part()),
                    now - report.lastSeenAge().toNanos());
            evidence.put(report.part(), known);
        }
        boolean changed = known.merge(report, now);
        if (changed) {
            attributions = null;
        }
        return changed;
    }

    /** Records that a target responded to a request with these parts; returns the reports that clear them. */
    public List<PartReport> clear(Collection<PromptPart> parts) {
        responded.addAll(parts);
        long now = time.monotonicNanos();
        List<PartReport> clearing = new ArrayList<>();
        for (PromptPart part : parts) {
            PartEvidence known = evidence.get(part);
            if (known != null && known.clear(now)) {
                clearing.addAll(known.reports(part, now));
                attributions = null;
            }
        }
        return clearing;
    }

    /** Records that a request with these parts has arrived, which keeps what is known of them. */
    public void recordSeen(Collection<PromptPart> parts) {
        long now = time.monotonicNanos();
        for (PromptPart part : parts) {
            PartEvidence known = evidence.get(part);
            if (known != null && known.isSuspected()) {
                known.recordSeen(now);
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
        return attributions().keySet().stream()
                .filter(parts::containsAll)
                .findFirst()
                .orElse(Set.of());
    }

    /** Returns all sets of parts for which requests are refused. */
    public Set<Set<PromptPart>> refusals() {
        return Set.copyOf(attributions().keySet());
    }

    /** Returns whether requests are refused for a part that the crash of a target is attributed to. */
    public boolean explains(Target.Key target) {
        return attributions().values().stream()
                .anyMatch(attribution -> attribution.targets().contains(target));
    }

    /** Returns whether a refused request may be sent once to find out whether targets still crash under its parts. */
    public boolean tryBeginTrial(Set<PromptPart> cause) {
        CrashAttribution attribution = attributions().get(cause);
        if (attribution == null || attribution.strengthAboveDecisive() >= TRIAL_DELAYS.size()) {
            return false;
        }
        long now = time.monotonicNanos();
        long delayNanos = TRIAL_DELAYS.get(attribution.strengthAboveDecisive()).toNanos();
        List<PartEvidence> known =
                cause.stream().map(evidence::get).filter(Objects::nonNull).toList();
        if (known.stream().anyMatch(part -> now - part.lastCrashNanos() < delayNanos)) {
            return false;
        }
        known.forEach(part -> part.recordTrial(now)); // the next one is due after another delay, whatever comes of this
        return true;
    }

    /** Removes the crashes that their targets have survived; returns these targets. */
    public Set<Target.Key> removeSurvived(SurvivalCheck survival) {
        long now = time.monotonicNanos();
        Set<Target.Key> survivors = new LinkedHashSet<>();
        evidence.values().forEach(known -> survivors.addAll(known.removeSurvived(survival, now)));
        if (!survivors.isEmpty()) {
            evidence.values().removeIf(PartEvidence::isEmpty);
            attributions = null;
        }
        return survivors;
    }

    /** Removes parts that were not seen for a time; returns those that were still suspected. */
    public List<PromptPart> removeExpired() {
        long now = time.monotonicNanos();
        List<PromptPart> expired = new ArrayList<>();
        boolean removed = evidence.entrySet().removeIf(entry -> {
            boolean suspected = entry.getValue().isSuspected();
            Duration retention = suspected ? RETENTION : CLEARED_RETENTION;
            boolean remove = now - entry.getValue().lastSeenNanos() > retention.toNanos();
            if (remove && suspected) {
                expired.add(entry.getKey());
            }
            return remove;
        });
        if (removed) {
            attributions = null;
        }
        return expired;
    }

    /**
     * Returns up to {@code max} reports to repeat to a peer, each of another part. Half of them are of parts with several
     * requests, since requests may be refused for these. Successive calls return all reports in turn.
     */
    public List<PartReport> nextReports(int max) {
        List<PromptPart> strong = new ArrayList<>();
        List<PromptPart> others = new ArrayList<>();
        evidence.forEach((part, known) -> (known.strength() > 1 ? strong : others).add(part));
        long now = time.monotonicNanos();
        List<PartReport> reports = new ArrayList<>();
        for (PromptPart part : repeats.next(strong, others, max)) {
            PartEvidence known = evidence.get(part);
            if (known != null) {
                reports.add(known.nextReport(part, now));
            }
        }
        return reports;
    }

    private Map<Set<PromptPart>, CrashAttribution> attributions() {
        Map<Set<PromptPart>, CrashAttribution> known = attributions;
        if (known == null) {
            known = CrashAttribution.find(evidence);
            attributions = known;
        }
        return known;
    }

    /** Removes the part with the weakest evidence, of those the one not seen for the longest time. */
    private void makeRoom() {
        if (evidence.size() < MAX_PARTS) {
            return;
        }
        PromptPart weakest = evidence.entrySet().stream()
                .min(Comparator.<Map.Entry<PromptPart, PartEvidence>>comparingInt(
                                entry -> entry.getValue().strength())
                        .thenComparingLong(entry -> entry.getValue().lastSeenNanos()))
                .map(Map.Entry::getKey)
                .orElseThrow();
        evidence.remove(weakest);
        attributions = null;
    }
}
