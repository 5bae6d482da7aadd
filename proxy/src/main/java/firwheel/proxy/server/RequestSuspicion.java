package firwheel.proxy.server;

import firwheel.proxy.balance.TargetLoad;
import firwheel.proxy.crash.CrashLedger.Verdict;
import firwheel.proxy.crash.RequestFingerprint;
import firwheel.proxy.targets.Target;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Whether targets crash under one request, and what follows for it: it is refused, or goes to a target without another
 * suspected request.
 */
final class RequestSuspicion {
    private final ProxyState state;
    private final Supplier<RequestFingerprint> fingerprintFactory;
    private @Nullable RequestFingerprint fingerprint;
    private @Nullable TargetLoad currentLoad;
    private boolean connectionLost;
    private boolean trial;

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

    /** Decides on the arrival of a refused request whether it may be sent once. */
    void onArrival() {
        trial = judge() == Verdict.REFUSED && state.crashGuard.tryBeginTrial(fingerprint());
    }

    /** Returns whether the request must not be sent to a target, after it has been sent {@code sends} times. */
    boolean isRefused(int sends) {
        return judge() == Verdict.REFUSED && !(trial && sends == 0);
    }

    /** Returns whether a target is known to have crashed under the request. */
    boolean isSuspected() {
        return judge() != Verdict.UNSUSPECTED;
    }

    /** Returns whether a connection ended before the response to this request was complete. */
    boolean connectionLost() {
        return connectionLost;
    }

    /** Selects a target that is not in {@code tried}, or returns null if none is available. */
    @Nullable
    Target selectTarget(String service, Set<Target.Key> tried) {
        release();
        if (!connectionLost && !isSuspected()) {
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

    void onConnectionLost(Target target) {
        connectionLost = true;
        state.crashGuard.onResponseLost(fingerprint(), target);
    }

    void onResponseAbandoned(Target target) {
        state.crashGuard.onResponseAbandoned(fingerprint(), target);
    }

    /** Records that a target responded completely and with success. */
    void onAnswered() {
        state.crashGuard.onAnswered(this::fingerprint);
    }

    private Verdict judge() {
        return state.crashGuard.judge(this::fingerprint);
    }
}
