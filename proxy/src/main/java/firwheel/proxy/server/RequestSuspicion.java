package firwheel.proxy.server;

import firwheel.proxy.balance.TargetLoad;
import firwheel.proxy.crash.CrashLedger;
import firwheel.proxy.crash.PartLedger;
import firwheel.proxy.crash.PromptPart;
import firwheel.proxy.crash.RequestFingerprint;
import firwheel.proxy.crash.Suspect;
import firwheel.proxy.targets.Target;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Whether targets crash under one request or under a part of its prompt, and what follows for it: it is refused, or goes
 * to a target without another suspected request.
 */
final class RequestSuspicion {
    private final ProxyState state;
    private final Supplier<RequestFingerprint> fingerprintFactory;
    private Set<PromptPart> parts = Set.of();
    private Set<PromptPart> sharedParts = Set.of();
    private @Nullable RequestFingerprint fingerprint;
    private @Nullable TargetLoad currentLoad;
    private boolean connectionLost;
    private boolean requestTrial;
    private boolean partTrial;

    /** Creates the suspicion of a request whose fingerprint is computed only if it is needed. */
    RequestSuspicion(ProxyState state, Supplier<RequestFingerprint> fingerprintFactory) {
        this.state = state;
        this.fingerprintFactory = fingerprintFactory;
    }

    RequestFingerprint fingerprint() {
        RequestFingerprint known = fingerprint;
        if (known == null) {
            known = fingerprintFactory.get();
            fingerprint = known;
        }
        return known;
    }

    /**
     * Decides on the arrival of a refused request whether it may be sent once.
     *
     * @param promptParts identifiers of the parts of its prompt; the last one is its own
     */
    void onArrival(String service, List<String> promptParts) {
        parts = parts(service, promptParts);
        sharedParts = parts(service, promptParts.subList(0, Math.max(0, promptParts.size() - 1)));
        requestTrial = isRequestRefused() && state.crashGuard.tryBeginTrial(fingerprint());
        partTrial = arePartsRefused() && state.partGuard.tryBeginTrial(sharedParts);
    }

    private static Set<PromptPart> parts(String service, List<String> ids) {
        return ids.stream().map(id -> new PromptPart(service, id)).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether the request must not be sent to a target, after it has been sent {@code sends} times. */
    boolean isRefused(int sends) {
        return (isRequestRefused() && !(requestTrial && sends == 0)) || isRefusedForParts(sends);
    }

    /** Returns whether parts of its prompt are a reason why it must not be sent. */
    boolean isRefusedForParts(int sends) {
        return arePartsRefused() && !(partTrial && sends == 0);
    }

    /** Returns the parts for which the request is refused, as they appear in logs. */
    String refusedParts() {
        return state.partGuard.refusedParts(sharedParts);
    }

    /** Returns whether a target is known to have crashed under the request or a part of its prompt. */
    boolean isSuspected() {
        return isRequestSuspected() || state.partGuard.judge(sharedParts) != PartLedger.Verdict.UNSUSPECTED;
    }

    /** Returns whether a connection ended before the response to this request was complete. */
    boolean connectionLost() {
        return connectionLost;
    }

    /** Selects a target that is not in {@code tried}, or returns null if none is available. */
    @Nullable
    Target selectTarget(String service, Set<Target.Key> tried) {
        release();
        if (!connectionLost && !isRequestSuspected()) {
            return state.targetSelector.select(service, tried);
        }
        Target target = state.targetSelector.selectForSuspect(service, tried);
        if (target != null) {
            currentLoad = state.targetSelector.load(target);
            currentLoad.addSuspect();
        }
        return target;
    }

    /** Records that the request has ended or leaves its target. */
    void release() {
        if (currentLoad != null) {
            currentLoad.removeSuspect();
            currentLoad = null;
        }
    }

    void onConnectionLost(TargetAttempt attempt) {
        connectionLost = true;
        state.crashGuard.onResponseLost(suspect(attempt), attempt.target());
    }

    void onResponseAbandoned(TargetAttempt attempt) {
        state.crashGuard.onResponseAbandoned(suspect(attempt), attempt.target());
    }

    /** Records that a target goes on with its response, which shows that no part of the prompt crashes it. */
    void onResponding() {
        state.partGuard.onResponding(parts);
    }

    /** Records that a target responded completely and with success. */
    void onAnswered() {
        state.crashGuard.onAnswered(this::fingerprint);
        onResponding();
    }

    private Suspect suspect(TargetAttempt attempt) {
        return new Suspect(fingerprint(), attempt.responding() ? Set.of() : sharedParts);
    }

    private boolean isRequestSuspected() {
        return state.crashGuard.judge(this::fingerprint) != CrashLedger.Verdict.UNSUSPECTED;
    }

    private boolean isRequestRefused() {
        return state.crashGuard.judge(this::fingerprint) == CrashLedger.Verdict.REFUSED;
    }

    private boolean arePartsRefused() {
        return state.partGuard.judge(sharedParts) == PartLedger.Verdict.REFUSED;
    }
}
