package firwheel.proxy.config;

import org.jspecify.annotations.Nullable;

/**
 * A service that targets belong to.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all callers combined
 * @param engine figures of its model engine, or null for a plain service
 */
public record ServiceConfig(String name, int maxConnections, @Nullable EngineConfig engine) {}
