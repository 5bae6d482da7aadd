package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.balance.Placement;
import firwheel.proxy.balance.RetryBudget;
import firwheel.proxy.balance.ReturnTimes;
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
    final Placement placement;
    final TargetConnections connections;
    final ProxyMetrics metrics;
    final DoubleSupplier random;
    final ReturnTimes returnTimes;
    private final Supplier<RetryBudget> newBudget;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private @Nullable RoutingConfig config;
    private boolean draining;

    ProxyState(
            Vertx vertx,
            TimeSource time,
            ProxyProtocol protocol,
            TargetDirectory directory,
            Placement placement,
            TargetConnections connections,
            ProxyMetrics metrics,
            DoubleSupplier random,
            Supplier<RetryBudget> newBudget) {
        this.vertx = vertx;
        this.time = time;
        this.protocol = protocol;
        this.directory = directory;
        this.placement = placement;
        this.connections = connections;
        this.metrics = metrics;
        this.random = random;
        returnTimes = new ReturnTimes(random);
        this.newBudget = newBudget;
    }

    /** Returns the configuration in force, or null before the first is known. */
    @Nullable
    RoutingConfig config() {
        return config;
    }

    /** Puts a configuration in force unless a newer one is; returns whether it is in force now. */
    boolean adopt(RoutingConfig fresh) {
        RoutingConfig present = config;
        if (present != null && present.version() >= fresh.version()) {
            return false;
        }
        config = fresh;
        return true;
    }

    boolean draining() {
        return draining;
    }

    void startDraining() {
        draining = true;
    }

    /** Returns the budget for sending requests of a service again. */
    RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> newBudget.get());
    }

    /** Gives all budgets new limits. */
    void setRepeatLimits(double ratio, double allowance) {
        budgets.values().forEach(budget -> budget.setLimits(ratio, allowance));
    }

    /** Tells all budgets how many entries share the allowance. */
    void setEntries(int entries) {
        budgets.values().forEach(budget -> budget.setEntries(entries));
    }
}
