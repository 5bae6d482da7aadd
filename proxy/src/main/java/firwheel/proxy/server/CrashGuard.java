package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.crash.CrashDetector;
import firwheel.proxy.crash.CrashLedger;
import firwheel.proxy.crash.CrashLedger.Verdict;
import firwheel.proxy.crash.CrashReport;
import firwheel.proxy.crash.RequestFingerprint;
import firwheel.proxy.crash.SurvivalCheck;
import firwheel.proxy.crash.Suspect;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests that crash their targets. Logs each change of what is known of a request and hands it to the other
 * entries. Fingerprints are computed only while something is suspected.
 */
final class CrashGuard {
    private static final Logger logger = LoggerFactory.getLogger(CrashGuard.class);

    private final CrashLedger ledger;
    private final CrashDetector detector;
    private final PartGuard parts;
    private Consumer<List<CrashReport>> reporter = reports -> {};
    private Predicate<String> trialOwner = key -> true;
    private SurvivalCheck survival = (target, crashAge) -> false;

    CrashGuard(TimeSource time, PartGuard parts) {
        this.parts = parts;
        ledger = new CrashLedger(time, parts::explains);
        detector = new CrashDetector(time, this::onCrash);
    }

    /** Sets the receiver of what this entry newly knows. */
    void setReporter(Consumer<List<CrashReport>> reporter) {
        this.reporter = reporter;
    }

    /** Sets which refused requests this entry may try again, by their key, so that only one entry tries each. */
    void setTrialOwner(Predicate<String> trialOwner) {
        this.trialOwner = trialOwner;
    }

    /** Sets how it is found out that a target has survived a crash that it is suspected of. */
    void setSurvivalCheck(SurvivalCheck survivalCheck) {
        survival = survivalCheck;
        parts.setSurvivalCheck(survivalCheck);
    }

    /** Returns what is known of a request that has arrived or is to be sent. */
    Verdict judge(Supplier<RequestFingerprint> request) {
        if (ledger.isEmpty()) {
            return Verdict.UNSUSPECTED;
        }
        ledger.recordSeen(request.get());
        return ledger.judge(request.get());
    }

    /** Returns whether a refused request may be sent once more by this entry. */
    boolean tryBeginTrial(RequestFingerprint request) {
        boolean granted = trialOwner.test(request.value()) && ledger.tryBeginTrial(request);
        if (granted) {
            log(EventCode.REQUEST_TRIAL, request, "crashes", ledger.crashes(request));
        }
        return granted;
    }

    void onResponseLost(Suspect request, Target target) {
        detector.onResponseLost(request, target.key());
    }

    void onResponseAbandoned(Suspect request, Target target) {
        detector.onResponseAbandoned(request, target.key());
    }

    void onTargetListening(Target.Key target) {
        detector.onTargetListening(target);
    }

    void onTargetEnded(Target.Key target, CrashDetector.End end) {
        detector.onTargetEnded(target, end);
    }

    /** Records that a target responded completely and with success. */
    void onAnswered(Supplier<RequestFingerprint> request) {
        if (ledger.isEmpty()) {
            return;
        }
        List<CrashReport> clearing = ledger.clear(request.get());
        if (!clearing.isEmpty()) {
            log(EventCode.REQUEST_CLEARED, request.get(), "crashes", clearing.size(), "source", "response");
            reporter.accept(clearing);
        }
    }

    /** Merges what another entry knows. */
    void onPeerReport(CrashReport report) {
        Verdict before = ledger.judge(report.request());
        boolean survived = !report.cleared() && survival.hasSurvived(report.target(), report.crashAge());
        if (survived || !ledger.merge(report)) {
            return;
        }
        if (report.cleared()) {
            log(EventCode.REQUEST_CLEARED, report.request(), "crashes", 1, "source", "peer");
        } else {
            logCrash(report.request(), report.target(), before, "peer", report.lastSeenAge());
            onTargetEnded(report.target(), CrashDetector.End.OBSERVED);
        }
    }

    /** Returns up to {@code max} reports to repeat to a peer. */
    List<CrashReport> nextReports(int max) {
        return ledger.nextReports(max);
    }

    /** Returns the number of requests with evidence. */
    int suspectedRequests() {
        return ledger.size();
    }

    /** Drops the crashes that their targets have survived, under whole requests and parts of prompts. */
    void removeSurvived() {
        Set<Target.Key> survivors = new LinkedHashSet<>(ledger.removeSurvived(survival));
        survivors.addAll(parts.removeSurvived());
        for (Target.Key target : survivors) {
            detector.onTargetSurvived(target);
            Events.log(
                    logger,
                    EventCode.CRASH_REFUTED,
                    "target",
                    target.instanceId(),
                    "startedMillis",
                    target.startedMillis(),
                    "suspectedRequests",
                    ledger.size(),
                    "suspectedParts",
                    parts.suspectedParts(),
                    "refusals",
                    parts.refusals());
        }
    }

    void removeExpired() {
        ledger.removeExpired().forEach(request -> log(EventCode.SUSPICION_EXPIRED, request));
    }

    private void onCrash(Suspect suspect, Target.Key target) {
        parts.onCrash(suspect, target);
        RequestFingerprint request = suspect.request();
        Verdict before = ledger.judge(request);
        if (ledger.recordCrash(request, target)) {
            logCrash(request, target, before, "response", Duration.ZERO);
            reporter.accept(List.of(new CrashReport(request, target, false, Duration.ZERO, Duration.ZERO)));
        }
    }

    private void logCrash(
            RequestFingerprint request, Target.Key target, Verdict before, String source, Duration lastSeenAge) {
        Verdict after = ledger.judge(request);
        log(
                after == Verdict.REFUSED && before != Verdict.REFUSED
                        ? EventCode.REQUEST_QUARANTINED
                        : EventCode.REQUEST_SUSPECTED,
                request,
                "target",
                target.instanceId(),
                "startedMillis",
                target.startedMillis(),
                "crashes",
                ledger.crashes(request),
                "verdict",
                after,
                "source",
                source,
                "lastSeenMillisAgo",
                lastSeenAge.toMillis());
    }

    private static void log(EventCode event, RequestFingerprint request, Object... details) {
        Object[] keysAndValues = new Object[details.length + 2];
        keysAndValues[0] = "fingerprint";
        keysAndValues[1] = request.value();
        System.arraycopy(details, 0, keysAndValues, 2, details.length);
        Events.log(logger, event, keysAndValues);
    }
}
