package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.crash.PartLedger;
import firwheel.proxy.crash.PartLedger.Verdict;
import firwheel.proxy.crash.PartReport;
import firwheel.proxy.crash.PromptPart;
import firwheel.proxy.crash.SurvivalCheck;
import firwheel.proxy.crash.Suspect;
import firwheel.proxy.targets.Target;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests with a part in their prompts that crashes targets. Logs each change of what is known of a part and
 * hands it to the other entries.
 */
final class PartGuard {
    private static final Logger logger = LoggerFactory.getLogger(PartGuard.class);

    private final PartLedger ledger;
    private Consumer<List<PartReport>> reporter = reports -> {};
    private Predicate<String> trialOwner = key -> true;
    private SurvivalCheck survival = (target, crashAge) -> false;
    private Set<Set<PromptPart>> refusals = Set.of();

    PartGuard(TimeSource time) {
        ledger = new PartLedger(time);
    }

    /** Sets the receiver of what this entry newly knows. */
    void setReporter(Consumer<List<PartReport>> reporter) {
        this.reporter = reporter;
    }

    /** Sets which refused parts this entry may try again, by their key, so that only one entry tries each. */
    void setTrialOwner(Predicate<String> trialOwner) {
        this.trialOwner = trialOwner;
    }

    /** Sets how it is found out that a target has survived a crash that it is suspected of. */
    void setSurvivalCheck(SurvivalCheck survivalCheck) {
        survival = survivalCheck;
    }

    /** Returns what is known of a request with these parts that has arrived or is to be sent. */
    Verdict judge(Set<PromptPart> parts) {
        if (ledger.isEmpty() || parts.isEmpty()) {
            return Verdict.UNSUSPECTED;
        }
        ledger.recordSeen(parts);
        return ledger.judge(parts);
    }

    /** Returns the parts for which a request with these parts is refused, as they appear in logs. */
    String refusedParts(Set<PromptPart> parts) {
        return key(ledger.cause(parts));
    }

    /** Returns whether a refused request may be sent once more by this entry. */
    boolean tryBeginTrial(Set<PromptPart> parts) {
        Set<PromptPart> cause = ledger.cause(parts);
        boolean granted = !cause.isEmpty() && trialOwner.test(key(cause)) && ledger.tryBeginTrial(cause);
        if (granted) {
            Events.log(logger, EventCode.PART_TRIAL, "parts", key(cause));
        }
        return granted;
    }

    /** Returns whether requests are refused for a part that the crash of a target is attributed to. */
    boolean explains(Target.Key target) {
        return !ledger.isEmpty() && ledger.explains(target);
    }

    /** Records that a target crashed while this entry waited for its response to the request. */
    void onCrash(Suspect suspect, Target.Key target) {
        List<PartReport> reports = ledger.recordCrash(suspect, target);
        reports.forEach(report -> logCrash(report, "response"));
        logRefusals();
        if (!reports.isEmpty()) {
            reporter.accept(reports);
        }
    }

    /** Records that a target responds to a request with these parts. */
    void onResponding(Set<PromptPart> parts) {
        List<PartReport> clearing = ledger.clear(parts);
        clearing.stream().map(PartReport::part).distinct().forEach(part -> logCleared(part, "response"));
        if (!clearing.isEmpty()) {
            logRefusals();
            reporter.accept(clearing);
        }
    }

    /** Merges what another entry knows; returns the targets of crashes that were not known. */
    Set<Target.Key> onPeerReports(List<PartReport> reports) {
        Set<Target.Key> crashed = new LinkedHashSet<>();
        for (PartReport report : reports) {
            boolean survived = !report.cleared() && survival.hasSurvived(report.target(), report.crashAge());
            if (!survived && ledger.merge(report)) {
                if (report.cleared()) {
                    logCleared(report.part(), "peer");
                } else {
                    logCrash(report, "peer");
                    crashed.add(report.target());
                }
            }
        }
        logRefusals();
        return crashed;
    }

    /** Returns up to {@code max} reports to repeat to a peer. */
    List<PartReport> nextReports(int max) {
        return ledger.nextReports(max);
    }

    /** Returns the number of parts with evidence. */
    int suspectedParts() {
        return ledger.size();
    }

    /** Returns the number of parts, alone or together, for which requests are refused. */
    int refusals() {
        return ledger.refusals().size();
    }

    /** Drops the crashes that their targets have survived; returns these targets. */
    Set<Target.Key> removeSurvived() {
        Set<Target.Key> survivors = ledger.removeSurvived(survival);
        if (!survivors.isEmpty()) {
            logRefusals();
        }
        return survivors;
    }

    void removeExpired() {
        ledger.removeExpired()
                .forEach(part ->
                        Events.log(logger, EventCode.PART_EXPIRED, "part", part.id(), "service", part.service()));
    }

    private void logCrash(PartReport report, String source) {
        PromptPart part = report.part();
        Events.log(
                logger,
                EventCode.PART_SUSPECTED,
                "part",
                part.id(),
                "service",
                part.service(),
                "target",
                report.target().instanceId(),
                "startedMillis",
                report.target().startedMillis(),
                "fingerprint",
                report.request().value(),
                "crashes",
                ledger.crashes(part),
                "requests",
                ledger.strength(part),
                "familiar",
                ledger.isFamiliar(part),
                "source",
                source,
                "lastSeenMillisAgo",
                report.lastSeenAge().toMillis());
    }

    private void logRefusals() {
        Set<Set<PromptPart>> before = refusals;
        refusals = ledger.refusals();
        refusals.stream()
                .filter(parts -> !before.contains(parts))
                .forEach(parts -> Events.log(
                        logger,
                        EventCode.PART_QUARANTINED,
                        "parts",
                        key(parts),
                        "crashes",
                        parts.stream().mapToInt(ledger::crashes).max().orElse(0),
                        "requests",
                        parts.stream().mapToInt(ledger::strength).max().orElse(0)));
    }

    private void logCleared(PromptPart part, String source) {
        Events.log(logger, EventCode.PART_CLEARED, "part", part.id(), "service", part.service(), "source", source);
    }

    private static String key(Set<PromptPart> parts) {
        return parts.stream()
                .map(part -> part.service() + "/" + part.id())
                .collect(Collectors.toCollection(TreeSet::new))
                .stream()
                .collect(Collectors.joining(","));
    }
}
