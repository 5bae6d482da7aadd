package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.balance.RetryAfterPolicy;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
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
    final DoubleSupplier random;
    final RetryAfterPolicy retryAfterPolicy;
    private final Supplier<RetryBudget> retryBudgetFactory;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private @Nullable RoutingConfig config;
    private boolean draining;

    ProxyState(
            Vertx vertx,
            TimeSource time,
            ProxyProtocol protocol,
            TargetDirectory directory,
            TargetSelector targetSelector,
            TargetConnectionPool connections,
            ProxyMetrics metrics,
            DoubleSupplier random,
            Supplier<RetryBudget> retryBudgetFactory) {
        this.vertx = vertx;
        this.time = time;
        this.protocol = protocol;
        this.directory = directory;
        this.targetSelector = targetSelector;
        this.connections = connections;
        this.metrics = metrics;
        this.random = random;
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

    /** Records that a target said in a response with {@code status} that it leaves. */
    void onTargetLeaving(Target target, int status) {
        if (directory.markLeaving(target.key())) {
            Events.log(
                    logger,
                    EventCode.TARGET_LEAVING,
                    "target",
                    target.instanceId(),
                    "startedMillis",
                    target.startedMillis(),
                    "service",
                    target.service(),
                    "status",
                    status,
                    "registeredAsServing",
                    directory.isServing(target));
        }
    }

    /** Records that a response of a target states another request limit than the one before. */
    void onTargetLimit(Target target, ResponseHead head) {
        Events.log(
                logger,
                EventCode.TARGET_LIMIT,
                "target",
                target.instanceId(),
                "service",
                target.service(),
                "status",
                head.status(),
                "requestsPerSecond",
                head.requestLimit());
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
