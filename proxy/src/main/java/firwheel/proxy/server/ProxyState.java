package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.balance.RetryAfterPolicy;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.balance.StatedLimits;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.balance.WaitPolicy;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.crash.CrashDetector.End;
import firwheel.proxy.memory.HeldBytes;
import firwheel.proxy.targets.RetiredTargets;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** State shared by all requests of one entry. Confined to the event loop that serves them. */
final class ProxyState {
    private static final Logger logger = LoggerFactory.getLogger(ProxyState.class);

    final Vertx vertx;
    final TimeSource time;
    final ProxyProtocol protocol;
    final TargetDirectory directory;
    final TargetSelector targetSelector;
    final TargetConnectionPool connections;
    final ProxyMetrics metrics;
    final HeldBytes heldBytes;
    final DoubleSupplier random;
    final RetryAfterPolicy retryAfterPolicy;
    final CrashGuard crashGuard;
    final PartGuard partGuard;
    final GroupWait groupWait;
    private final RetiredTargets retiredTargets = new RetiredTargets();
    private final Map<Target.Key, Future<TargetConnectionPool.Reachability>> probes = new HashMap<>();
    private final Supplier<RetryBudget> retryBudgetFactory;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private @Nullable RoutingConfig config;
    private boolean draining;
    private ProxyServer.StatementListener statementListener = (target, leaving, requestsPerSecond) -> {};

    ProxyState(
            Vertx vertx,
            TimeSource time,
            ProxyProtocol protocol,
            TargetDirectory directory,
            TargetSelector targetSelector,
            TargetConnectionPool connections,
            ProxyMetrics metrics,
            HeldBytes heldBytes,
            DoubleSupplier random,
            Supplier<RetryBudget> retryBudgetFactory) {
        this.vertx = vertx;
        this.time = time;
        this.protocol = protocol;
        this.directory = directory;
        this.targetSelector = targetSelector;
        this.connections = connections;
        this.metrics = metrics;
        this.heldBytes = heldBytes;
        this.random = random;
        partGuard = new PartGuard(time);
        crashGuard = new CrashGuard(time, partGuard);
        groupWait = new GroupWait(vertx, time, targetSelector, WaitPolicy.ofReturnedCallers(), metrics);
        retryAfterPolicy = new RetryAfterPolicy(random);
        this.retryBudgetFactory = retryBudgetFactory;
    }

    /** Returns the active configuration, or null if none has been received yet. */
    @Nullable
    RoutingConfig config() {
        return config;
    }

    /** Activates a configuration unless it is older than the active one; returns whether it was activated. */
    boolean applyConfig(RoutingConfig candidate) {
        RoutingConfig current = config;
        if (current != null && current.version() > candidate.version()) {
            return false;
        }
        config = candidate;
        return true;
    }

    /**
     * Finds out whether a target that lost a response has ended. Requests that lose theirs at the same moment share one
     * connection.
     */
    Future<TargetConnectionPool.Reachability> probe(Target target) {
        Future<TargetConnectionPool.Reachability> pending = probes.get(target.key());
        if (pending != null) {
            return pending;
        }
        Future<TargetConnectionPool.Reachability> probe = connections
                .probe(target)
                .onSuccess(reachability -> {
                    probes.remove(target.key());
                    logger.atInfo()
                            .addKeyValue("target", target.instanceId())
                            .addKeyValue("startedMillis", target.startedMillis())
                            .addKeyValue("outcome", reachability)
                            .log("probed target after a lost response");
                    if (reachability == TargetConnectionPool.Reachability.REFUSING) {
                        onConnectionRefused(target);
                    } else if (reachability == TargetConnectionPool.Reachability.LISTENING) {
                        crashGuard.onTargetListening(target.key());
                    }
                });
        if (!probe.isComplete()) {
            probes.put(target.key(), probe);
        }
        return probe;
    }

    /** Records that no process listens at the address of a target. */
    void onConnectionRefused(Target target) {
        if (!directory.isLeaving(target.key())) {
            crashGuard.onTargetEnded(target.key(), End.OBSERVED);
        }
    }

    /** Records that an incarnation of a target is no longer listed. */
    void onTargetRetired(Target target) {
        if (!directory.isLeaving(target.key())) {
            Target current = directory.find(target.instanceId());
            Target successor = directory.findByAddress(target.ip(), target.port());
            boolean restarted = (current != null && !current.key().equals(target.key()))
                    || (successor != null && RetiredTargets.succeeds(successor, target));
            crashGuard.onTargetEnded(target.key(), restarted ? End.RESTARTED : End.UNLISTED);
            retiredTargets.add(target);
        }
    }

    /** Records that an incarnation of a target has registered. */
    void onTargetRegistered(Target target) {
        Target predecessor = retiredTargets.removePredecessor(target);
        if (predecessor != null) {
            crashGuard.onTargetEnded(predecessor.key(), End.RESTARTED);
        }
    }

    /** Records that a target said in a response that it leaves. */
    void onTargetLeaving(Target target) {
        if (directory.markLeaving(target.key())) {
            logLeaving(target, "response");
            statementListener.onStatement(target, true, StatedLimits.NONE);
        }
    }

    /** Records the request limit that a response of a target states; negative if it states none. */
    void onTargetLimit(Target target, double requestsPerSecond) {
        if (targetSelector.limits().onStated(target.key(), requestsPerSecond)) {
            logLimit(target, requestsPerSecond, "response");
            statementListener.onStatement(target, false, requestsPerSecond);
        }
    }

    /** Records what another entry heard from a target. */
    void onPeerStatement(Target target, boolean leaving, double requestsPerSecond) {
        if (leaving) {
            if (directory.markLeaving(target.key())) {
                logLeaving(target, "peer");
            }
        } else if (targetSelector.limits().onStated(target.key(), requestsPerSecond)) {
            logLimit(target, requestsPerSecond, "peer");
        }
    }

    void setStatementListener(ProxyServer.StatementListener listener) {
        statementListener = listener;
    }

    private void logLimit(Target target, double requestsPerSecond, String source) {
        Events.log(
                logger,
                EventCode.TARGET_LIMIT,
                "target",
                target.instanceId(),
                "service",
                target.service(),
                "requestsPerSecond",
                requestsPerSecond,
                "limitedTargets",
                targetSelector.limits().count(),
                "source",
                source);
    }

    private void logLeaving(Target target, String source) {
        Events.log(
                logger,
                EventCode.TARGET_LEAVING,
                "target",
                target.instanceId(),
                "startedMillis",
                target.startedMillis(),
                "service",
                target.service(),
                "registeredAsDraining",
                target.draining(),
                "source",
                source);
    }

    boolean draining() {
        return draining;
    }

    void startDraining() {
        draining = true;
    }

    /** Returns the retry budget of a service. */
    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, name -> retryBudgetFactory.get());
    }

    /** Sets the limits of all retry budgets. */
    void setRetryLimits(double ratio, double allowance) {
        retryBudgets.values().forEach(budget -> budget.setLimits(ratio, allowance));
    }

    /** Sets the number of entries that share the allowance of each retry budget. */
    void setEntryCount(int entryCount) {
        retryBudgets.values().forEach(budget -> budget.setEntryCount(entryCount));
    }
}
