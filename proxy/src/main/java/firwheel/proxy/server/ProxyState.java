package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.balance.RetryAfterPolicy;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.targets.TargetDirectory;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** What all requests of one entry share. Belongs to the event loop that carries the traffic. */
final class ProxyState {
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

    /** Returns the configuration in force, or null before the first is known. */
    @Nullable
    RoutingConfig config() {
        return config;
    }

    /** Puts a configuration in force unless a newer one is; returns whether it is in force now. */
    boolean applyConfig(RoutingConfig candidate) {
        RoutingConfig current = config;
        if (current != null && current.version() >= candidate.version()) {
            return false;
        }
        config = candidate;
        return true;
    }

    boolean draining() {
        return draining;
    }

    void startDraining() {
        draining = true;
    }

    /** Returns the budget for sending requests of a service again. */
    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, name -> retryBudgetFactory.get());
    }

    /** Gives all budgets new limits. */
    void setRetryLimits(double ratio, double allowance) {
        retryBudgets.values().forEach(budget -> budget.setLimits(ratio, allowance));
    }

    /** Tells all budgets how many entries share the allowance. */
    void setEntryCount(int entryCount) {
        retryBudgets.values().forEach(budget -> budget.setEntryCount(entryCount));
    }
}
